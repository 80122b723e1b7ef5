#include "carawayvalve/core/retry_budget_members.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <set>
#include <string>

#include "carawayvalve/core/retry_budget_share.h"

namespace carawayvalve::core {

using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("RetrySharers") {
  const Instant start = Instant() + seconds(100);
  RetryBudgetMembers sharers({.window = seconds(10), .list_interval = seconds(4)},
                       {"self"}, start);

  SUBCASE("a process that has not registered has no part of the slack") {
    sharers.NoteListed({{"a"}, {"b"}});
    CHECK_FALSE(sharers.SlackDivisor(start + seconds(60)).has_value());

    SUBCASE("nor has it by a list from before its registration") {
      sharers.NoteRegistered(true, start + seconds(1));
      CHECK_FALSE(sharers.SlackDivisor(start + seconds(60)).has_value());
    }
  }
  SUBCASE("one that starts again has none while what it sent may count") {
    sharers.NoteRegistered(true, start + seconds(1));
    sharers.NoteListed({{"self"}, {"a"}, {"b"}});
    CHECK_FALSE(sharers.SlackDivisor(start + milliseconds(9999)).has_value());

    SUBCASE("then it counts the others and itself") {
      const Instant later = start + seconds(10);
      CHECK(sharers.SlackDivisor(later) == 3);

      SUBCASE("also one that it hears and has not listed") {
        sharers.NoteSeen({"late"});
        CHECK(sharers.SlackDivisor(later) == 4);
      }
      SUBCASE("and one that is listed no more, as it may have spent its part") {
        sharers.NoteListed({{"self"}, {"a"}});
        CHECK(sharers.SlackDivisor(later) == 3);
      }
    }
  }
  SUBCASE("a new one waits until all others count it as well") {
    sharers.NoteRegistered(false, start + seconds(1));
    sharers.NoteListed({{"self"}, {"a"}});
    CHECK_FALSE(sharers.SlackDivisor(start + milliseconds(14999)).has_value());
    CHECK(sharers.SlackDivisor(start + seconds(15)) == 2);
  }
}

// Gateways start, are killed, start again and join; each lists the others now
// and then and spends all that it may. Some words between them are lost.
TEST_CASE("no window has more of the slack than there is") {
  CHECK(rc::check("over restarts and newcomers", [] {
    const RetryBudgetShare::Settings bounds = {
        .ratio = 0, .slack = 54, .window = seconds(10)};
    const RetryBudgetMembers::Settings settings = {.window = bounds.window,
                                             .list_interval = seconds(10)};
    struct Process {
      RetryBudgetMembers sharers;
      RetryBudgetShare share;
      Instant last_list;
    };
    constexpr size_t kProcesses = 6;
    Instant now = Instant() + seconds(100);
    std::map<size_t, Process> running;
    std::set<base::HostId> registered;
    std::deque<Instant> retries;
    const auto list = [&](size_t i) {
      running.at(i).sharers.NoteListed(registered);
      running.at(i).last_list = now;
      for (auto& [other, process] : running) {
        if (*rc::gen::inRange(0, 2) == 0) {
          process.sharers.NoteSeen({std::to_string(i)});
        }
      }
    };
    for (int step = 0; step < 300; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      const auto i = *rc::gen::inRange<size_t>(0, kProcesses);
      const base::HostId self{std::to_string(i)};
      if (!running.contains(i)) {
        Process process{{settings, self, now}, RetryBudgetShare(bounds), now};
        process.sharers.NoteRegistered(!registered.insert(self).second, now);
        running.emplace(i, std::move(process));
        list(i);
      } else if (*rc::gen::inRange(0, 8) == 0) {
        running.erase(i);
      }
      for (auto& [other, process] : running) {
        if (now - process.last_list >= settings.list_interval) {
          list(other);
        }
        while (process.share.TrySpend(process.sharers.SlackDivisor(now), now)) {
          retries.push_back(now);
        }
      }
      while (!retries.empty() && retries.front() <= now - bounds.window) {
        retries.pop_front();
      }
      RC_ASSERT(static_cast<double>(retries.size()) <= bounds.slack);
    }
  }));
}

}  // namespace carawayvalve::core
