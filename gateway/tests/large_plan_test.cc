#include <doctest/doctest.h>

#include <memory>
#include <optional>

#include "carawayvalve/net/http_server.h"
#include "large_plan.h"
#include "platform/link.h"
#include "platform/store.h"
#include "store_feed.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr Milliseconds kCallTimeout(1000);
// For what follows the last byte.
constexpr Milliseconds kSlack(1000);
// Watches wait longer than a test.
constexpr seconds kWatchWait(60);

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.bounds.key_withdrawal = seconds(60);
  return settings;
}

// A gateway whose link to the store is mostly taken.
struct SlowStoreTest {
  SlowStoreTest() { this->link.SetRate(kLeftOfLink); }

  // Runs until the gateway has the version or `time` has passed.
  void RunUntilVersion(int64_t version, base::Duration time) {
    const base::Instant end = base::Now() + time;
    while (base::Now() < end && VersionOf(this->gateway.state) < version) {
      this->feed.RenewFreshness(base::Now());
      this->gateway.RunFor(Milliseconds(50));
    }
  }

  TestGateway gateway{TestSettings()};
  tests::Store store{gateway.loop};
  tests::Link link{gateway.loop, base::ParseAddress(store.address()).port};
  platform::ObjectClient objects{
      gateway.loop, base::ParseAddress(link.address()), kCallTimeout};
  StoreFeed feed{gateway.context, objects};
};

}  // namespace

// Guards against answers that are abandoned while they arrive, and asked for
// again from their beginning.
TEST_CASE("a large configuration comes through the slow link of a gateway") {
  SlowStoreTest test;

  SUBCASE("when it starts") {
    const nlohmann::json plan = LargePlan(5);
    REQUIRE(TransferTime(plan) > 2 * kCallTimeout);
    test.store.Put("config", "main", plan);
    test.feed.Start();
    test.RunUntilVersion(5, TransferTime(plan) + kSlack);
    CHECK(VersionOf(test.gateway.state) == 5);
  }

  SUBCASE("once it has started") {
    test.store.Put("config", "main", LargePlan(5, 1));

    SUBCASE("and watches") {
      test.feed.SetWatchWaits({{kWatchWait, std::nullopt}, {}});
    }
    SUBCASE("and watches, and asks when it hears nothing from peers") {
      test.feed.SetWatchWaits({{kWatchWait, Milliseconds(1100)}, {}});
    }
    SUBCASE("and asks the store now and then") {
      test.feed.SetWatchWaits({{std::nullopt, Milliseconds(600)}, {}});
    }

    test.feed.Start();
    test.RunUntilVersion(5, kSlack);
    REQUIRE(VersionOf(test.gateway.state) == 5);
    const nlohmann::json plan = LargePlan(7);
    test.store.Put("config", "main", plan);
    test.RunUntilVersion(7, TransferTime(plan) + kSlack);
    CHECK(VersionOf(test.gateway.state) == 7);
  }
}

// Guards against watches that are given up while they wait.
TEST_CASE("a watch waits on after the head of its answer") {
  TestGateway gateway(TestSettings());
  std::shared_ptr<net::Exchange> watch;
  net::HttpServer store(gateway.loop, {"127.0.0.1", 0},
                        [&](const std::shared_ptr<net::Exchange>& exchange) {
                          watch = exchange;
                          exchange->Begin({200, {}});
                        });
  platform::ObjectClient objects(gateway.loop, {"127.0.0.1", store.port()},
                                 kCallTimeout);
  std::optional<platform::WatchResult> result;
  const auto call =
      objects.Watch("config", 1, kCallTimeout * 3,
                    [&](const platform::WatchResult& got) { result = got; });
  gateway.RunFor(kCallTimeout * 2);
  REQUIRE(watch != nullptr);
  CHECK_FALSE(result.has_value());
  watch->Send(R"({"events":[]})");
  watch->Finish();
  gateway.RunFor(Milliseconds(100));
  REQUIRE(result.has_value());
  CHECK(std::holds_alternative<platform::ObjectChanges>(*result));
}

}  // namespace carawayvalve::gateway
