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

// The counter that only names the agent's window.
UsageCounter WindowMarker(int64_t window) {
  return {{}, window, {}};
}

}  // namespace

TEST_CASE("UsageCounters: until a collector has the usage") {
  UsageCounters counters;
  CHECK(counters.WaitUntilCollected(kNoWait));
  counters.Count(kGuild, {1, 20, 3});
  CHECK_FALSE(counters.WaitUntilCollected(kNoWait));

  SUBCASE("what is counted before the first window waits for it") {
    CHECK(counters.Collect(0, 0).empty());
    CHECK(counters.Collect(0, 0).empty());
    CHECK(counters.state().uncollected == 1);
  }

  SUBCASE("a collector begins a window") {
    const Counters answer = {CounterOf(7, {1, 20, 3}), WindowMarker(7)};
    CHECK(counters.Collect(0, 7) == answer);
    CHECK(counters.state().window == 7);

    SUBCASE("and hears the same again if the answer was lost") {
      CHECK(counters.Collect(0, 7) == answer);
      CHECK(counters.state().uncollected == 1);
    }
    SUBCASE("a number that isn't higher begins none") {
      CHECK(counters.Collect(0, 6) == answer);
    }
    SUBCASE("the present window may grow, so it isn't told") {
      CHECK(counters.Collect(7, 7) == answer);
      CHECK(counters.state().uncollected == 1);
    }

    SUBCASE("and a later one") {
      CHECK(counters.Collect(7, 8) ==
            Counters{CounterOf(7, {1, 20, 3}), WindowMarker(8)});

      SUBCASE("the answer was lost: nothing is told yet") {
        counters.Collect(7, 8);
        CHECK_FALSE(counters.WaitUntilCollected(kNoWait));
      }
      SUBCASE("the next reading shows that it arrived") {
        CHECK(counters.Collect(8, 8) == Counters{WindowMarker(8)});
        CHECK(counters.WaitUntilCollected(kNoWait));
        CHECK(counters.state().uncollected == 0);
      }
      SUBCASE("what was counted since then is still untold") {
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

  SUBCASE("one of two collectors is enough") {
    counters.Collect(0, 7);
    counters.Collect(0, 7);
    counters.Collect(7, 8);
    CHECK(counters.Collect(0, 8).size() == 2);
    CHECK_FALSE(counters.WaitUntilCollected(kNoWait));
    counters.Collect(8, 8);
    CHECK(counters.WaitUntilCollected(kNoWait));
  }
  SUBCASE("a window that only an earlier run has named proves nothing") {
    counters.Collect(0, 7);
    counters.Collect(8, 8);
    counters.Collect(8, 8);
    CHECK_FALSE(counters.WaitUntilCollected(kNoWait));
  }

  SUBCASE("windows that were never told are kept, however many follow") {
    constexpr int64_t kWindows = 100;
    for (int64_t window = 1; window <= kWindows; ++window) {
      counters.Collect(window, window);
      counters.Count(kGuild, {1, 0, 0});
    }
    CHECK(counters.Collect(0, 0).front() == CounterOf(1, {2, 20, 3}));
    CHECK(counters.state().uncollected == kWindows + 1);
  }
  SUBCASE("windows that were told are forgotten under constant load") {
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
  SUBCASE("two readings show that the last usage was told") {
    counters.Collect(0, 7);
    counters.Count(kGuild, {1, 20, 3});
    counters.Close();
    CHECK(counters.Collect(7, 7) ==
          Counters{CounterOf(7, {1, 20, 3}), WindowMarker(8)});
    CHECK_FALSE(counters.WaitUntilCollected(kNoWait));
    counters.Collect(8, 7);
    CHECK(counters.WaitUntilCollected(kNoWait));
  }
  SUBCASE("also when no collector came before") {
    counters.Count(kGuild, {1, 20, 3});
    counters.Close();
    CHECK(counters.Collect(0, 7) ==
          Counters{CounterOf(7, {1, 20, 3}), WindowMarker(8)});
    counters.Collect(8, 7);
    CHECK(counters.WaitUntilCollected(kNoWait));
  }
}

}  // namespace carawayvalve::agent
