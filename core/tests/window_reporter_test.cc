#include "carawayvalve/core/window_reporter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace carawayvalve::core {

using base::Duration;
using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("WindowCounts") {
  WindowCounts counts;
  counts.Count({"own"}, 7, {"guild"});
  counts.Count({"own"}, 7, {"guild"});

  SUBCASE("sums over all that counted") {
    counts.Merge({7, {"peer"}, {{{"guild"}, 3}, {{"zoo"}, 1}}});
    CHECK(counts.Sum(7) == AccountCounts{{{"guild"}, 5}, {{"zoo"}, 1}});
  }
  SUBCASE("a copy that is late or comes twice changes nothing") {
    counts.Merge({7, {"peer"}, {{{"guild"}, 3}}});
    counts.Merge({7, {"peer"}, {{{"guild"}, 2}}});
    counts.Merge({7, {"peer"}, {{{"guild"}, 3}}});
    CHECK(counts.Sum(7) == AccountCounts{{{"guild"}, 5}});
  }
  SUBCASE("tells its parts, and forgets old windows") {
    CHECK(counts.Parts(7).size() == 1);
    counts.ForgetBefore(8);
    CHECK(counts.Parts(0).empty());
    CHECK(counts.Sum(7).empty());
  }
}

TEST_CASE("WindowReports") {
  const Instant now = Instant() + seconds(100);
  WindowReporter reports({});
  WindowCounts counts;
  counts.Count({"own"}, 20, {"guild"});

  SUBCASE("a window isn't sealed before its counts have settled") {
    CHECK(reports.WindowOf(seconds(104)) == 20);
    const auto actions = reports.Tick(counts, Milliseconds(106999), now);
    for (const ReportAction& action : actions) {
      CHECK(std::get<StoreSeal>(action).window < 20);
    }
  }
  SUBCASE("then it is sealed, and reported as the seal says") {
    const auto actions = reports.Tick(counts, seconds(107), now);
    REQUIRE(!actions.empty());
    CHECK(actions.back() == ReportAction(StoreSeal{20, {{{"guild"}, 1}}}));
    CHECK(reports.Tick(counts, seconds(107), now).empty());

    SUBCASE("also where another process had sealed other figures") {
      reports.Step(SealKnown{20, {{{"guild"}, 4}}}, now);
      const auto next = reports.Tick(counts, seconds(107), now);
      REQUIRE(next.size() == 1);
      CHECK(next.front() == ReportAction(SendReport{20, {{{"guild"}, 4}}}));

      SUBCASE("again with the same figures after a lost answer") {
        reports.Step(ReportFailed{20}, now);
        CHECK(reports.Tick(counts, seconds(107), now).empty());
        const auto again = reports.Tick(counts, seconds(108), now + seconds(1));
        REQUIRE(!again.empty());
        CHECK(again.back() == ReportAction(SendReport{20, {{{"guild"}, 4}}}));
      }
      SUBCASE("once") {
        reports.Step(ReportAccepted{20}, now);
        CHECK(reports.reported() == 1);
        for (const ReportAction& action :
             reports.Tick(counts, seconds(108), now + seconds(1))) {
          CHECK_FALSE(std::holds_alternative<SendReport>(action));
        }
      }
    }
  }
}

// Two holders that both believe in their lease, over a store and a platform
// that lose answers.
TEST_CASE("no window is reported with two figures") {
  CHECK(rc::check("by any number of holders", [] {
    std::map<int64_t, AccountCounts> store;
    std::map<int64_t, AccountCounts> reported;
    std::vector<WindowReporter> holders(3, WindowReporter({}));
    std::vector<WindowCounts> counts(3);
    Instant now = Instant() + seconds(100);
    Duration wall_time = seconds(100);
    for (int step = 0; step < 150; ++step) {
      const Milliseconds passed(*rc::gen::inRange(0, 400));
      now += passed;
      wall_time += passed;
      const auto index = static_cast<size_t>(*rc::gen::inRange(0, 3));
      counts[index].Count({"p"}, holders[index].WindowOf(wall_time), {"guild"});
      for (const ReportAction& action :
           holders[index].Tick(counts[index], wall_time, now)) {
        const bool lost = *rc::gen::inRange(0, 4) == 0;
        if (const auto* seal = std::get_if<StoreSeal>(&action)) {
          const auto& first =
              store.try_emplace(seal->window, seal->counts).first->second;
          holders[index].Step(lost ? ReportEvent(SealFailed{seal->window})
                                 : ReportEvent(SealKnown{seal->window, first}),
                            now);
        } else {
          const auto& report = std::get<SendReport>(action);
          const auto& first =
              reported.try_emplace(report.window, report.counts).first->second;
          RC_ASSERT(first == report.counts);
          holders[index].Step(lost ? ReportEvent(ReportFailed{report.window})
                                 : ReportEvent(ReportAccepted{report.window}),
                            now);
        }
      }
    }
  }));
}

}  // namespace carawayvalve::core
