#include "usage_counters.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace carawayvalve::agent {

namespace {

using core::UsageCounter;
using core::UsageFigures;
using Counters = std::vector<UsageCounter>;

constexpr base::Milliseconds kNoWait{0};
const base::ClientAccountId kGuild{"guild"};

UsageCounter CounterOf(int64_t window, const UsageFigures& figures) {
  return {kGuild, window, figures};
}

// The zero counter that announces the agent's current window.
UsageCounter WindowMarker(int64_t window) {
  return {{}, window, {}};
}

}  // namespace

TEST_CASE("UsageCounters: usage is uncollected until a collector confirms it") {
  UsageCounters counters;
  CHECK(counters.WaitUntilCollected(kNoWait));
  counters.Count(kGuild, {1, 20, 3});
  CHECK_FALSE(counters.WaitUntilCollected(kNoWait));

  SUBCASE("usage counted before the first window is kept for it") {
    CHECK(counters.Collect(0, 0).empty());
    CHECK(counters.Collect(0, 0).empty());
    CHECK(counters.state().uncollected == 1);
  }

  SUBCASE("a collector begins a window") {
    const Counters answer = {CounterOf(7, {1, 20, 3}), WindowMarker(7)};
    CHECK(counters.Collect(0, 7) == answer);
    CHECK(counters.state().window == 7);

    SUBCASE("a repeated request after a lost answer gets the same answer") {
      CHECK(counters.Collect(0, 7) == answer);
      CHECK(counters.state().uncollected == 1);
    }
    SUBCASE("a number that isn't higher begins no window") {
      CHECK(counters.Collect(0, 6) == answer);
    }
    SUBCASE("the current window may grow, so it isn't collected") {
      CHECK(counters.Collect(7, 7) == answer);
      CHECK(counters.state().uncollected == 1);
    }

    SUBCASE("a collector begins a later window") {
      CHECK(counters.Collect(7, 8) ==
            Counters{CounterOf(7, {1, 20, 3}), WindowMarker(8)});

      SUBCASE("a repeated request after a lost answer confirms nothing") {
        counters.Collect(7, 8);
        CHECK_FALSE(counters.WaitUntilCollected(kNoWait));
      }
      SUBCASE("the next request confirms the earlier window") {
        CHECK(counters.Collect(8, 8) == Counters{WindowMarker(8)});
        CHECK(counters.WaitUntilCollected(kNoWait));
        CHECK(counters.state().uncollected == 0);
      }
      SUBCASE("usage counted since then is still uncollected") {
        counters.Count(kGuild, {1, 0, 0});
        counters.Collect(8, 8);
        CHECK(counters.state().uncollected == 1);
        CHECK_FALSE(counters.WaitUntilCollected(kNoWait));
        counters.Collect(8, 9);
        counters.Collect(9, 9);
        CHECK(counters.WaitUntilCollected(kNoWait));
      }
    }
  }

  SUBCASE("either of two collectors can confirm usage") {
    counters.Collect(0, 7);
    counters.Collect(0, 7);
    counters.Collect(7, 8);
    CHECK(counters.Collect(0, 8).size() == 2);
    CHECK_FALSE(counters.WaitUntilCollected(kNoWait));
    counters.Collect(8, 8);
    CHECK(counters.WaitUntilCollected(kNoWait));
  }
  SUBCASE("a window that only an earlier run announced confirms nothing") {
    counters.Collect(0, 7);
    counters.Collect(8, 8);
    counters.Collect(8, 8);
    CHECK_FALSE(counters.WaitUntilCollected(kNoWait));
  }

  SUBCASE("uncollected windows are kept, however many follow") {
    constexpr int64_t kWindows = 100;
    for (int64_t window = 1; window <= kWindows; ++window) {
      counters.Collect(window, window);
      counters.Count(kGuild, {1, 0, 0});
    }
    CHECK(counters.Collect(0, 0).front() == CounterOf(1, {2, 20, 3}));
    CHECK(counters.state().uncollected == kWindows + 1);
  }
  SUBCASE("collected windows are dropped under constant load") {
    for (int64_t window = 1; window <= 100; ++window) {
      counters.Collect(window - 1, window);
      counters.Count(kGuild, {1, 0, 0});
      counters.Collect(window, window);
    }
    CHECK(counters.state().uncollected == 1);
    CHECK(counters.Collect(0, 0).size() < 50);
  }
}

TEST_CASE("UsageCounters: a planned stop needs no later window") {
  UsageCounters counters;

  SUBCASE("without usage there is nothing to wait for") {
    counters.Collect(0, 7);
    counters.Close();
    CHECK(counters.WaitUntilCollected(kNoWait));
    CHECK(counters.state().window == 7);
  }
  SUBCASE("two collections confirm the last usage") {
    counters.Collect(0, 7);
    counters.Count(kGuild, {1, 20, 3});
    counters.Close();
    CHECK(counters.Collect(7, 7) ==
          Counters{CounterOf(7, {1, 20, 3}), WindowMarker(8)});
    CHECK_FALSE(counters.WaitUntilCollected(kNoWait));
    counters.Collect(8, 7);
    CHECK(counters.WaitUntilCollected(kNoWait));
  }
  SUBCASE("two collections confirm usage from before the first window") {
    counters.Count(kGuild, {1, 20, 3});
    counters.Close();
    CHECK(counters.Collect(0, 7) ==
          Counters{CounterOf(7, {1, 20, 3}), WindowMarker(8)});
    counters.Collect(8, 7);
    CHECK(counters.WaitUntilCollected(kNoWait));
  }
}

}  // namespace carawayvalve::agent
