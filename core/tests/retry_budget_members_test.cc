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

TEST_CASE("RetryBudgetMembers") {
  const Instant start = Instant() + seconds(100);
  RetryBudgetMembers members(
      {.window = seconds(10), .list_interval = seconds(4)}, {"self"}, start);

  SUBCASE("an unregistered process has no slack") {
    members.NoteListed({{"a"}, {"b"}});
    CHECK_FALSE(members.SlackDivisor(start + seconds(60)).has_value());

    SUBCASE("a list from before the registration doesn't count") {
      members.NoteRegistered(true, start + seconds(1));
      CHECK_FALSE(members.SlackDivisor(start + seconds(60)).has_value());
    }
  }
  SUBCASE("a restarted process has no slack for a window") {
    members.NoteRegistered(true, start + seconds(1));
    members.NoteListed({{"self"}, {"a"}, {"b"}});
    CHECK_FALSE(members.SlackDivisor(start + milliseconds(9999)).has_value());

    SUBCASE("then it counts the others and itself") {
      const Instant later = start + seconds(10);
      CHECK(members.SlackDivisor(later) == 3);

      SUBCASE("and a process that it has seen but not listed") {
        members.NoteSeen({"late"});
        CHECK(members.SlackDivisor(later) == 4);
      }
      SUBCASE("and one no longer listed, which may have spent its part") {
        members.NoteListed({{"self"}, {"a"}});
        CHECK(members.SlackDivisor(later) == 3);
      }
    }
  }
  SUBCASE("a new process waits until all others count it") {
    members.NoteRegistered(false, start + seconds(1));
    members.NoteListed({{"self"}, {"a"}});
    CHECK_FALSE(members.SlackDivisor(start + milliseconds(14999)).has_value());
    CHECK(members.SlackDivisor(start + seconds(15)) == 2);
  }
}

// Guards against processes that together spend more than the slack in a window.
// Gateways join, are killed and restart; each regularly lists the others and
// spends all it can. Some messages between them are lost.
TEST_CASE("All processes together stay within the slack in any window") {
  CHECK(rc::check("across restarts and new processes", [] {
    const RetryBudgetShare::Settings bounds = {
        .ratio = 0, .slack = 54, .window = seconds(10)};
    const RetryBudgetMembers::Settings settings = {
        .window = bounds.window, .list_interval = seconds(10)};
    struct Process {
      RetryBudgetMembers members;
      RetryBudgetShare share;
      Instant last_list;
    };
    constexpr size_t kProcesses = 6;
    Instant now = Instant() + seconds(100);
    std::map<size_t, Process> running;
    std::set<base::HostId> registered;
    std::deque<Instant> retries;
    const auto list = [&](size_t i) {
      running.at(i).members.NoteListed(registered);
      running.at(i).last_list = now;
      for (auto& [other, process] : running) {
        if (*rc::gen::inRange(0, 2) == 0) {
          process.members.NoteSeen({std::to_string(i)});
        }
      }
    };
    for (int step = 0; step < 300; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      const auto i = *rc::gen::inRange<size_t>(0, kProcesses);
      const base::HostId self{std::to_string(i)};
      if (!running.contains(i)) {
        Process process{{settings, self, now}, RetryBudgetShare(bounds), now};
        process.members.NoteRegistered(!registered.insert(self).second, now);
        running.emplace(i, std::move(process));
        list(i);
      } else if (*rc::gen::inRange(0, 8) == 0) {
        running.erase(i);
      }
      for (auto& [other, process] : running) {
        if (now - process.last_list >= settings.list_interval) {
          list(other);
        }
        while (process.share.TrySpend(process.members.SlackDivisor(now), now)) {
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
