#include "carawayvalve/systems/weight_store.h"

#include <doctest/doctest.h>

#include "answer_server.h"
#include "carawayvalve/base/error.h"

namespace carawayvalve::systems {

using base::Milliseconds;

TEST_CASE("WeightStore distinguishes weights from a rate-limit answer") {
  AnswerServer server(
      {JsonReply(200, R"({"bytes":70})"),
       {"HTTP/1.1 429 Slow\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n"},
       {"HTTP/1.1 429 Slow\r\nRetry-After: soon\r\nContent-Length: 0\r\n\r\n"},
       JsonReply(200, R"({"bytes":0})")});
  const WeightStore store(server.Address());
  CHECK(store.LookUp("m", "1").bytes == 70);
  CHECK(store.LookUp("m", "1").retry_after == Milliseconds(4000));
  CHECK(store.LookUp("m", "1").retry_after == Milliseconds(1000));
  CHECK_THROWS_AS(store.LookUp("m", "1"), base::Error);
  CHECK(server.Requests().at(0).starts_with("GET /weights/m/1 HTTP/1.1\r\n"));
}

}  // namespace carawayvalve::systems
