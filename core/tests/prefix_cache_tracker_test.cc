#include "carawayvalve/core/prefix_cache_tracker.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

namespace {

Prompt MakePrompt(const std::string& shared, const std::string& own) {
  return {{"m"}, {{shared, 1000}, {own, 300}}, 1300, 50};
}

}  // namespace

TEST_CASE("PrefixKeysOf") {
  SUBCASE("leaves out the last part, which is specific to the request") {
    const auto keys = PrefixKeysOf(MakePrompt("s", "1"));
    REQUIRE(keys.size() == 1);
    CHECK(keys[0].tokens == 1000);
    CHECK(keys == PrefixKeysOf(MakePrompt("s", "2")));
    CHECK(keys != PrefixKeysOf(MakePrompt("t", "1")));
  }
  SUBCASE("distinguishes the same part after different parts") {
    const auto a =
        PrefixKeysOf({{"m"}, {{"x", 10}, {"s", 5}, {"1", 1}}, 16, 1});
    const auto b =
        PrefixKeysOf({{"m"}, {{"y", 10}, {"s", 5}, {"1", 1}}, 16, 1});
    REQUIRE(a.size() == 2);
    CHECK(a[1].tokens == 15);
    CHECK(a[1].hash != b[1].hash);
  }
  SUBCASE("returns no keys for a prompt without parts") {
    CHECK(PrefixKeysOf({{"m"}, {}, 10, 1}).empty());
  }
}

TEST_CASE("PrefixCacheTracker") {
  const base::BackendServerId engine{"a"};
  PrefixCacheTracker tracker(2500);
  const auto first = PrefixKeysOf(MakePrompt("1", "x"));
  const auto second = PrefixKeysOf(MakePrompt("2", "x"));
  const auto third = PrefixKeysOf(MakePrompt("3", "x"));
  tracker.NoteSent(engine, first);

  SUBCASE("returns the prefixes that were sent to an engine") {
    CHECK(tracker.CachedTokens(engine, first) == 1000);
    CHECK(tracker.CachedTokens(engine, second) == 0);
    CHECK(tracker.CachedTokens({"b"}, first) == 0);
  }
  SUBCASE("evicts the least recently used prefix when the engine is full") {
    tracker.NoteSent(engine, second);
    tracker.NoteSent(engine, first);
    tracker.NoteSent(engine, third);
    CHECK(tracker.CachedTokens(engine, first) == 1000);
    CHECK(tracker.CachedTokens(engine, second) == 0);
    CHECK(tracker.CachedTokens(engine, third) == 1000);
  }
  SUBCASE("distinguishes prefilled prefixes from pending ones") {
    CHECK(tracker.PrefilledTokens(engine, first) == 0);
    tracker.NotePrefilled(engine, first);
    CHECK(tracker.PrefilledTokens(engine, first) == 1000);

    SUBCASE("even after another prompt with the prefix was sent") {
      tracker.NoteSent(engine, first);
      CHECK(tracker.PrefilledTokens(engine, first) == 1000);
    }
  }
  SUBCASE("drops all prefixes of an engine that has restarted") {
    tracker.Forget(engine);
    CHECK(tracker.CachedTokens(engine, first) == 0);
  }
}

}  // namespace carawayvalve::core
