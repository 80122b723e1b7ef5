#include "carawayvalve/systems/usage.h"

#include <doctest/doctest.h>

#include "answer_server.h"
#include "carawayvalve/base/error.h"

namespace carawayvalve::systems {

using base::Milliseconds;
using base::UnknownOutcomeError;

TEST_CASE("UsageInterface sends a report") {
  AnswerServer server({JsonReply(200, ""), JsonReply(409, ""), NoReply()});
  const UsageInterface usage(server.Address());
  const UsageReport report{
      "id",   {"r"}, 5,
      "host", 2,     {{{"guild"}, 1, 2, 3, {}}, {{"guild"}, 4, 5, 6, 3}}};
  CHECK(usage.Send(report, Milliseconds(5000)));
  CHECK_FALSE(usage.Send(report, Milliseconds(5000)));
  CHECK_THROWS_AS(usage.Send(report, Milliseconds(5000)), UnknownOutcomeError);
  CHECK(server.Requests().size() == 3);
  CHECK(server.Requests()[0].ends_with(
      R"({"epoch":2,"holder":"host","lines":[{"client_account":"guild",)"
      R"("output_tokens":3,"prompt_tokens":2,"requests":1},)"
      R"({"client_account":"guild","correction_of":3,)"
      R"("output_tokens":6,"prompt_tokens":5,"requests":4}],)"
      R"("region":"r","report_id":"id","window":5})"));
}

}  // namespace carawayvalve::systems
