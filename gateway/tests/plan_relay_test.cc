#include "plan_relay.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "carawayvalve/base/deflate.h"
#include "carawayvalve/net/http_server.h"
#include "large_plan.h"
#include "platform/link.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr Milliseconds kCallTimeout(1000);
// For what follows the last byte.
constexpr Milliseconds kSlack(1000);

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  return settings;
}

// The parts of a gateway that peers tell of the configuration; its store is
// away.
struct Member {
  void Take(const nlohmann::json& plan) {
    this->feed.ApplyPlan(std::make_shared<const nlohmann::json>(AsRead(plan)),
                         "store");
  }
  int64_t version() const { return VersionOf(this->gateway.state); }
  wire::gen::Gossip Message() const {
    wire::gen::Gossip gossip;
    gossip.host = "peer";
    this->relay.AddTo(gossip);
    return gossip;
  }

  TestGateway gateway{TestSettings()};
  platform::ObjectClient objects{gateway.loop, {"127.0.0.1", 1}, kCallTimeout};
  StoreFeed feed{gateway.context, objects};
  PlanRelay relay{gateway.context, feed};
};

// A gateway that hears of a peer's versions, and the peer.
struct RelayTest {
  // Tells the gateway of the peer's version and waits for the answers.
  void Tell() {
    this->told.relay.Apply(this->peer.Message(),
                           {"127.0.0.1", this->server.port()});
    this->told.gateway.RunFor(Milliseconds(100));
  }

  Member peer;
  Member told;
  std::vector<std::string> targets;
  size_t bytes = 0;
  // May replace the peer's answer.
  std::function<void(net::Response&)> on_answer = [](net::Response&) {};
  net::HttpServer server{
      told.gateway.loop,
      {"127.0.0.1", 0},
      [this](const std::shared_ptr<net::Exchange>& exchange) {
        this->targets.push_back(exchange->request().target);
        auto answer = this->peer.relay.Answer(exchange->request())
                          .value_or(net::Response{{404, {}}, ""});
        this->on_answer(answer);
        this->bytes += answer.body.size();
        exchange->Respond(answer);
      }};
};

}  // namespace

TEST_CASE("a gateway is told of configurations by a peer") {
  RelayTest test;
  nlohmann::json plan = LargePlan(5);
  const size_t plan_bytes = base::PrintJson(plan).size();
  test.peer.Take(plan);
  test.Tell();
  CHECK(test.told.version() == 5);
  CHECK(test.targets == std::vector<std::string>{"/plan"});
  CHECK(test.bytes < plan_bytes / 5);
  test.targets.clear();
  test.bytes = 0;
  plan["version"] = 7;
  plan["routes"][100]["priority"] = 7;
  test.peer.Take(plan);

  // Guards against links that are filled with routes which haven't changed.
  SUBCASE("with few bytes for a small change") {
    test.Tell();
    CHECK(test.targets == std::vector<std::string>{"/plan?after=5"});
    CHECK(test.bytes < 1000);
    CHECK(*test.told.feed.plan_value() == plan);

    SUBCASE("and tells others of it") {
      const auto answer =
          test.told.relay.Answer({"GET", "/plan?after=5", {}, {}});
      REQUIRE(answer.has_value());
      CHECK(answer->head.status == 200);
      CHECK(answer->body.size() < 2000);
    }
  }

  SUBCASE("of several changes at once") {
    plan["version"] = 8;
    plan["routes"].erase(3);
    test.peer.Take(plan);
    test.Tell();
    CHECK(test.targets == std::vector<std::string>{"/plan?after=5"});
    CHECK(test.told.version() == 8);
    CHECK(*test.told.feed.plan_value() == plan);
  }

  SUBCASE("as a whole, if the peer doesn't know its version") {
    test.told.Take(LargePlan(6));
    test.Tell();
    CHECK(test.targets == std::vector<std::string>{"/plan?after=6", "/plan"});
    CHECK(*test.told.feed.plan_value() == plan);
  }

  SUBCASE("as a whole, if it has another configuration of its version") {
    nlohmann::json odd = LargePlan(5);
    odd["routes"][7]["priority"] = 9;
    test.told.gateway.state.table.reset();
    test.told.Take(odd);
    test.Tell();
    CHECK(*test.told.feed.plan_value() == plan);
  }

  SUBCASE("whose answers aren't compressed") {
    test.on_answer = [](net::Response& answer) {
      if (!answer.body.empty()) {
        answer = {{200, {}},
                  *base::Inflate(answer.body, size_t{8} * 1024 * 1024)};
      }
    };
    test.Tell();
    CHECK(test.told.version() == 7);
  }

  SUBCASE("but takes nothing that can't be read") {
    SUBCASE("no JSON") {
      test.on_answer = [](net::Response& answer) {
        answer = {{200, {}}, "no JSON"};
      };
    }
    SUBCASE("nothing compressed") {
      test.on_answer = [](net::Response& answer) { answer.body = "odd"; };
    }
    SUBCASE("no configuration") {
      test.on_answer = [](net::Response& answer) {
        answer = {{200, {}}, R"({"version":9})"};
      };
    }
    SUBCASE("an error") {
      test.on_answer = [](net::Response& answer) { answer = {{503, {}}, ""}; };
    }
    test.Tell();
    CHECK(test.told.version() == 5);
    CHECK(*test.told.feed.plan_value() == LargePlan(5));

    // The peer is asked again a little later.
    test.targets.clear();
    test.on_answer = [](net::Response&) {};
    test.Tell();
    CHECK(test.targets.empty());
    test.told.gateway.RunFor(Milliseconds(500));
    test.Tell();
    CHECK(test.told.version() == 7);
  }
}

// Guards against answers that are abandoned while they arrive, and asked for
// again from their beginning.
TEST_CASE("a large configuration comes from a peer with a slow link") {
  RelayTest test;
  const nlohmann::json plan = LargePlan(7);
  REQUIRE(TransferTime(plan) > 2 * kCallTimeout);
  test.peer.Take(plan);
  // As of a gateway that doesn't compress.
  test.on_answer = [&](net::Response& answer) {
    answer = {{200, {}}, base::PrintJson(plan)};
  };
  tests::Link link(test.told.gateway.loop, test.server.port());
  link.SetRate(kLeftOfLink);
  const base::Instant end = base::Now() + TransferTime(plan) + kSlack;
  while (base::Now() < end && test.told.version() < 7) {
    test.told.relay.Apply(test.peer.Message(), {"127.0.0.1", link.port()});
    test.told.gateway.RunFor(Milliseconds(50));
  }
  CHECK(test.told.version() == 7);
}

}  // namespace carawayvalve::gateway
