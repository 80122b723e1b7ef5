#include "carawayvalve/core/usage_changes.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("UsageChanges") {
  UsageChanges changes(seconds(2));
  const Instant start = Instant() + seconds(100);
  const WindowCountsPart part = {7, {"boot"}, {{{"north"}, 3}, {{"south"}, 1}}};
  CHECK(changes.Update({part}, start) == std::vector<WindowCountsPart>{part});

  SUBCASE("a count is told for a while after its change") {
    CHECK(changes.Update({part}, start + Milliseconds(1900)) ==
          std::vector<WindowCountsPart>{part});
    CHECK(changes.Update({part}, start + seconds(2)).empty());
  }
  SUBCASE("then only what has changed") {
    const WindowCountsPart later = {
        7, {"boot"}, {{{"north"}, 3}, {{"south"}, 2}}};
    changes.Update({later}, start + seconds(1));
    CHECK(changes.Update({later}, start + Milliseconds(2500)) ==
          std::vector<WindowCountsPart>{{7, {"boot"}, {{{"south"}, 2}}}});
  }
}

// Guards against usage that is lost with the messages of a full link.
TEST_CASE("the reporter knows all counts though messages are lost") {
  CHECK(rc::check("unless all copies of a change are lost", [] {
    constexpr int kTellsPerChange = 4;
    UsageChanges changes(Milliseconds(500) * kTellsPerChange);
    WindowCounts own;
    WindowCounts reporter;
    const base::BootId boot{"boot"};
    Instant now = Instant() + seconds(100);
    int lost_in_a_row = 0;
    for (int tick = 0; tick < 20; ++tick) {
      const auto requests = *rc::gen::inRange(0, 4);
      for (int i = 0; i < requests; ++i) {
        own.Count(boot, 7, {std::to_string(*rc::gen::inRange(0, 5))});
      }
      const auto told = changes.Update(own.Parts(7), now);
      const bool lost =
          lost_in_a_row < kTellsPerChange - 1 && *rc::gen::inRange(0, 3) > 0;
      lost_in_a_row = lost ? lost_in_a_row + 1 : 0;
      if (!lost) {
        for (const WindowCountsPart& part : told) {
          reporter.Merge(part);
        }
      }
      now += Milliseconds(500);
    }
    for (int tick = 0; tick < kTellsPerChange; ++tick) {
      for (const WindowCountsPart& part : changes.Update(own.Parts(7), now)) {
        reporter.Merge(part);
      }
      now += Milliseconds(500);
    }
    RC_ASSERT(reporter.Sum(7) == own.Sum(7));
  }));
}

}  // namespace carawayvalve::core
