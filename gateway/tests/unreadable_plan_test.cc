#include <doctest/doctest.h>

#include <string>

#include "large_plan.h"
#include "platform/store.h"
#include "store_feed.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kFewRoutes = 3;
// A part of each route, and what makes it no JSON or no configuration.
constexpr char kPart[] = R"("priority":1)";
constexpr const char* kOddParts[] = {R"("priority":nul)",
                                     R"("priority":"urgent")"};

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.store.watch_wait = Milliseconds(50);
  return settings;
}

// A gateway whose store may spoil its answers.
struct UnreadablePlanTest {
  void Spoil(const std::string& odd_part) {
    this->store.on_answer = [odd_part](std::string& text) {
      if (const size_t at = text.find(kPart); at != std::string::npos) {
        text.replace(at, sizeof(kPart) - 1, odd_part);
      }
    };
  }
  int64_t version() const { return VersionOf(this->gateway.state); }

  TestGateway gateway{TestSettings()};
  tests::Store store{gateway.loop};
  platform::ObjectClient objects{
      gateway.loop, base::ParseAddress(store.address()), seconds(1)};
  StoreFeed feed{gateway.context, objects};
};

}  // namespace

// Guards against a version that isn't in force until the next change, as one
// answer couldn't be read.
TEST_CASE("a configuration that couldn't be read is read again") {
  for (const char* odd_part : kOddParts) {
    CAPTURE(odd_part);
    UnreadablePlanTest test;
    test.store.Put("config", "main", LargePlan(5, kFewRoutes));

    SUBCASE("when a gateway starts") {
      test.Spoil(odd_part);
      test.feed.Start();
      test.gateway.RunFor(Milliseconds(300));
      REQUIRE(test.version() == 0);
      test.store.on_answer = [](std::string&) {};
      test.gateway.RunFor(seconds(2));
      CHECK(test.version() == 5);
    }

    SUBCASE("when it changes") {
      test.feed.Start();
      test.gateway.RunFor(Milliseconds(300));
      test.Spoil(odd_part);
      test.store.Put("config", "main", LargePlan(7, kFewRoutes));
      test.gateway.RunFor(Milliseconds(300));
      REQUIRE(test.version() == 5);
      test.store.on_answer = [](std::string&) {};
      test.gateway.RunFor(seconds(2));
      CHECK(test.version() == 7);
    }
  }
}

TEST_CASE("a configuration that can't be read is asked for now and then") {
  UnreadablePlanTest test;
  test.Spoil(kOddParts[0]);
  test.store.Put("config", "main", LargePlan(5, kFewRoutes));
  test.feed.Start();
  test.gateway.RunFor(seconds(3));
  const auto& pages = test.store.pages["config"];
  CHECK(pages.size() >= 3);
  CHECK(pages.size() <= 7);
}

}  // namespace carawayvalve::gateway
