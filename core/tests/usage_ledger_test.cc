#include "carawayvalve/core/usage_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace carawayvalve::core {

namespace {

using base::BootId;
using base::ClientAccountId;

const ClientAccountId kNorth{"north"};
const ClientAccountId kSouth{"south"};

// The value of one agent's counter as read at some time.
struct ReadCounter {
  BootId agent;
  UsageCounter counter;
};

rc::Gen<std::vector<ReadCounter>> GenerateCounters() {
  const auto name = [] { return std::to_string(*rc::gen::inRange(0, 3)); };
  return rc::gen::container<std::vector<ReadCounter>>(rc::gen::exec([=] {
    return ReadCounter{{name()},
                       {{name()},
                        *rc::gen::inRange(1, 4),
                        {*rc::gen::inRange(0, 9), *rc::gen::inRange(0, 9),
                         *rc::gen::inRange(0, 9)}}};
  }));
}

UsageCollection Collect(const std::vector<ReadCounter>& counters) {
  UsageCollection collection;
  for (const ReadCounter& read : counters) {
    collection.Merge(read.agent, read.counter);
  }
  return collection;
}

UsageCollection Union(UsageCollection left, const UsageCollection& right) {
  left.Merge(right);
  return left;
}

}  // namespace

TEST_CASE("AgentUsageLedger") {
  AgentUsageLedger ledger(2);
  ledger.Count(kNorth, {1, 10, 5});
  CHECK(ledger.CountersSince(0).empty());
  ledger.MarkCollected(0);
  CHECK_FALSE(ledger.AllCollected());

  SUBCASE("adds usage from before the first window to the first window") {
    ledger.BeginWindow(7);
    ledger.Count(kNorth, {1, 0, 0});
    const std::vector<UsageCounter> expected = {{kNorth, 7, {2, 10, 5}},
                                                {{}, 7, {}}};
    CHECK(ledger.CountersSince(0) == expected);

    SUBCASE("adds later usage to the window that began last") {
      ledger.BeginWindow(9);
      ledger.BeginWindow(8);
      ledger.Count(kSouth, {1, 1, 1});
      const std::vector<UsageCounter> later = {{kSouth, 9, {1, 1, 1}},
                                               {{}, 9, {}}};
      CHECK(ledger.CountersSince(8) == later);

      SUBCASE("is collected only when read from the first uncollected window") {
        ledger.MarkCollected(9);
        CHECK_FALSE(ledger.AllCollected());
        ledger.MarkCollected(7);
        CHECK(ledger.AllCollected());
      }
    }
    SUBCASE("drops old windows only once they are collected") {
      for (const int64_t window : {8, 9, 10}) {
        ledger.BeginWindow(window);
        ledger.Count(kNorth, {1, 0, 0});
      }
      CHECK(ledger.CountersSince(0).front().window == 7);
      ledger.MarkCollected(0);
      ledger.BeginWindow(11);
      CHECK(ledger.CountersSince(0).front().window == 9);
    }
  }
}

TEST_CASE("UsageCollection") {
  CHECK(rc::check("reading a counter repeatedly counts it once", [] {
    const auto counters = *GenerateCounters();
    auto again = counters;
    again.insert(again.end(), counters.begin(), counters.end());
    RC_ASSERT(Collect(again) == Collect(counters));
  }));
  CHECK(rc::check("the order of reads doesn't matter", [] {
    const auto counters = *GenerateCounters();
    auto reordered = counters;
    std::reverse(reordered.begin(), reordered.end());
    RC_ASSERT(Collect(reordered) == Collect(counters));
  }));
  CHECK(rc::check("merging is commutative, associative and idempotent", [] {
    const auto a = Collect(*GenerateCounters());
    const auto b = Collect(*GenerateCounters());
    const auto c = Collect(*GenerateCounters());
    RC_ASSERT(Union(a, b) == Union(b, a));
    RC_ASSERT(Union(Union(a, b), c) == Union(a, Union(b, c)));
    RC_ASSERT(Union(a, a) == a);
  }));

  SUBCASE("drops the oldest windows, but never the newest") {
    UsageCollection collection;
    for (const int64_t window : {1, 2, 3}) {
      collection.Merge({"a"}, {kNorth, window, {1, 1, 1}});
      collection.Merge({"a"}, {kSouth, window, {1, 1, 1}});
    }
    const int64_t revision = collection.RevisionOf(1);
    collection.DropOldest(4);
    CHECK(collection.Windows() == std::vector<int64_t>{2, 3});
    CHECK(collection.size() == 4);
    collection.DropOldest(0);
    CHECK(collection.Windows() == std::vector<int64_t>{3});
    collection.Merge({"a"}, {kNorth, 1, {1, 1, 1}});
    CHECK(collection.RevisionOf(1) > revision);
  }
}

}  // namespace carawayvalve::core
