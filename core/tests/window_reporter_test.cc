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

  SUBCASE("sums the counts of all sources") {
    counts.Merge({7, {"peer"}, {{{"guild"}, 3}, {{"zoo"}, 1}}});
    CHECK(counts.Sum(7) == AccountCounts{{{"guild"}, 5}, {{"zoo"}, 1}});
  }
  SUBCASE("ignores late and duplicate copies") {
    counts.Merge({7, {"peer"}, {{{"guild"}, 3}}});
    counts.Merge({7, {"peer"}, {{{"guild"}, 2}}});
    counts.Merge({7, {"peer"}, {{{"guild"}, 3}}});
    CHECK(counts.Sum(7) == AccountCounts{{{"guild"}, 5}});
  }
  SUBCASE("returns its parts and drops old windows") {
    CHECK(counts.Parts(7).size() == 1);
    counts.ForgetBefore(8);
    CHECK(counts.Parts(0).empty());
    CHECK(counts.Sum(7).empty());
  }
}

TEST_CASE("WindowReporter") {
  const Instant now = Instant() + seconds(100);
  WindowReporter reports({});
  WindowCounts counts;
  counts.Count({"own"}, 20, {"guild"});

  SUBCASE("a window isn't sealed before the seal delay is over") {
    CHECK(reports.WindowOf(seconds(104)) == 20);
    const auto actions = reports.Tick(counts, Milliseconds(106999), now);
    for (const ReportAction& action : actions) {
      CHECK(std::get<StoreSeal>(action).window < 20);
    }
  }
  SUBCASE("a window is sealed later while a gateway is cut off") {
    WindowReporter patient({.max_seal_delay = seconds(7)});
    const auto sealed = [&](Milliseconds wall_time, Instant heard) {
      bool found = false;
      for (const ReportAction& action :
           patient.Tick(counts, wall_time, now, {now, heard})) {
        found = found || std::get<StoreSeal>(action).window == 20;
      }
      return found;
    };
    // The window ended two seconds ago; the gateway was heard before that.
    CHECK_FALSE(sealed(seconds(107), now - seconds(4)));

    SUBCASE("until it is heard again") {
      CHECK(sealed(seconds(107), now - Milliseconds(500)));
    }
    SUBCASE("but not for longer than the report may wait") {
      CHECK(sealed(seconds(112), now - seconds(9)));
    }
    SUBCASE("and not for one that was gone before the window") {
      CHECK(sealed(seconds(107), now - seconds(8)));
    }
  }
  // Guards against two reports of a window with different counts, the seal of
  // the first of which was lost with an older copy of the store.
  SUBCASE("a window whose seal may have been lost isn't sealed again") {
    // Sealed at 107 s at the earliest.
    reports.SetSealsKeptSince(Milliseconds(106500));
    for (const ReportAction& action : reports.Tick(counts, seconds(112), now)) {
      CHECK(std::get<StoreSeal>(action).window > 20);
    }

    SUBCASE("but reported if this process has sealed it") {
      WindowReporter own({});
      own.Tick(counts, seconds(107), now);
      own.Step(SealKnown{20, {{{"guild"}, 4}}}, now);
      own.SetSealsKeptSince(seconds(110));
      const auto next = own.Tick(counts, seconds(107), now);
      REQUIRE(next.size() == 1);
      CHECK(next.front() == ReportAction(SendReport{20, {{{"guild"}, 4}}}));
    }
    SUBCASE("later ones are") {
      const auto next =
          reports.Tick(counts, Milliseconds(112500), now + seconds(1));
      CHECK(next.empty());
      CHECK_FALSE(reports.Tick(counts, seconds(117), now + seconds(5)).empty());
    }
  }
  SUBCASE("a window is sealed after the seal delay") {
    const auto actions = reports.Tick(counts, seconds(107), now);
    REQUIRE(!actions.empty());
    CHECK(actions.back() == ReportAction(StoreSeal{20, {{{"guild"}, 1}}}));
    CHECK(reports.Tick(counts, seconds(107), now).empty());

    SUBCASE("the report has the counts that another process sealed") {
      reports.Step(SealKnown{20, {{{"guild"}, 4}}}, now);
      const auto next = reports.Tick(counts, seconds(107), now);
      REQUIRE(next.size() == 1);
      CHECK(next.front() == ReportAction(SendReport{20, {{{"guild"}, 4}}}));

      SUBCASE("a lost answer is followed by the same report") {
        reports.Step(ReportFailed{20}, now);
        CHECK(reports.Tick(counts, seconds(107), now).empty());
        const auto again = reports.Tick(counts, seconds(108), now + seconds(1));
        REQUIRE(!again.empty());
        CHECK(again.back() == ReportAction(SendReport{20, {{{"guild"}, 4}}}));
      }
      SUBCASE("an accepted report isn't sent again") {
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

// Three concurrent holders of the duty, over a store and a platform that lose
// answers. Guards against billing a window with differing counts.
TEST_CASE("all reports of a window have the same counts") {
  CHECK(rc::check("with three concurrent holders", [] {
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
          holders[index].Step(lost
                                  ? ReportEvent(SealFailed{seal->window})
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
