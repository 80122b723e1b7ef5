#include "carawayvalve/systems/backend_servers.h"

#include <doctest/doctest.h>

#include "answer_server.h"
#include "carawayvalve/base/error.h"

namespace carawayvalve::systems {

using base::Milliseconds;
using base::UnknownOutcomeError;

TEST_CASE("BackendServers lists, starts and stops backend servers") {
  SUBCASE("the states are read") {
    AnswerServer server({JsonReply(200, R"({"backend_servers":[
      {"name":"x","service":"s","state":"starting"},
      {"name":"y","service":"s","state":"stopping"}]})")});
    CHECK(BackendServers(server.Address()).List({"d"}) ==
          std::vector<BackendServer>{
              {{"x"}, {"s"}, BackendServerState::kStarting},
              {{"y"}, {"s"}, BackendServerState::kStopping}});
  }

  SUBCASE("an order names its server and is sent once") {
    AnswerServer server({JsonReply(200, R"({"name":"x"})"), NoReply()});
    const BackendServers servers(server.Address());
    const FleetOrder order{FleetOrderKind::kStart, {"s"}, {}, "key", 3};
    CHECK(servers.Send({"d 1"}, order, Milliseconds(5000)).value == "x");
    CHECK_THROWS_AS(servers.Send({"d 1"}, order, Milliseconds(5000)),
                    UnknownOutcomeError);
    const std::vector<std::string> requests = server.Requests();
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].starts_with("POST /backend-servers/d%201/orders "));
    CHECK(requests[0].ends_with(
        R"({"fencing_token":3,"idempotency_key":"key","name":"",)"
        R"("order":"start","service":"s"})"));
  }
}

}  // namespace carawayvalve::systems
