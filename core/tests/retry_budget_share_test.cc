#include "carawayvalve/core/retry_budget_share.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/core/retry_budget_members.h"

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

namespace {

int64_t CountIn(const std::vector<Instant>& times, Instant from, Instant to) {
  return std::lower_bound(times.begin(), times.end(), to) -
         std::lower_bound(times.begin(), times.end(), from);
}

// Returns whether the window ending at `now` keeps to the platform's rule. The
// rule counts the requests of that window, of the one half a window earlier or
// of the one a window earlier, whichever has the most.
bool WithinBound(const RetryBudgetShare::Settings& settings,
                 const std::vector<Instant>& requests,
                 const std::vector<Instant>& retries,
                 Instant now) {
  const Instant from = now - settings.window + base::Duration(1);
  int64_t max_requests = 0;
  for (const base::Duration earlier :
       {settings.window * 0, settings.window / 2, settings.window}) {
    max_requests = std::max(
        max_requests,
        CountIn(requests, from - earlier, from - earlier + settings.window));
  }
  return static_cast<double>(CountIn(retries, from, from + settings.window)) <=
         settings.ratio * static_cast<double>(max_requests) + settings.slack;
}

// Returns whether all windows keep to the rule. Between two events a window is
// worst just before a retry leaves it or a request comes.
bool AllWithinBound(const RetryBudgetShare::Settings& settings,
                    const std::vector<Instant>& requests,
                    const std::vector<Instant>& retries) {
  const auto within = [&](Instant now) {
    return WithinBound(settings, requests, retries, now);
  };
  constexpr base::Duration kJustBefore(1);
  return std::all_of(retries.begin(), retries.end(),
                     [&](Instant at) {
                       return within(at) &&
                              within(at + settings.window - kJustBefore);
                     }) &&
         std::all_of(requests.begin(), requests.end(),
                     [&](Instant at) { return within(at - kJustBefore); });
}

// Returns the members known to a process that was registered before, restarted
// at `started` and has listed `processes` processes.
RetryBudgetMembers MembersKnownTo(size_t processes, Instant started) {
  RetryBudgetMembers members({}, {"0"}, started);
  members.NoteRegistered(true, started);
  std::set<base::HostId> listed;
  for (size_t i = 0; i < processes; ++i) {
    listed.insert({std::to_string(i)});
  }
  members.NoteListed(listed);
  return members;
}

}  // namespace

TEST_CASE("RetryBudgetShare") {
  const Instant start = Instant() + seconds(100);
  RetryBudgetShare share({.ratio = 0.2, .slack = 50, .window = seconds(10)});

  SUBCASE("a process without requests has its part of the slack") {
    int64_t spent = 0;
    while (share.TrySpend(4, start)) {
      ++spent;
    }
    CHECK(spent == 10);

    SUBCASE("spent slack returns after the window") {
      CHECK_FALSE(share.CanSpend(4, start + Milliseconds(9999)));
      CHECK(share.CanSpend(4, start + seconds(10)));
    }
  }
  SUBCASE("requests earn retries without any slack") {
    for (int i = 0; i < 20; ++i) {
      share.NoteRequest(start);
    }
    CHECK(share.TrySpend(std::nullopt, start));
    CHECK_FALSE(share.TrySpend(std::nullopt, start));

    SUBCASE("slack is added to a remaining fraction of a retry") {
      CHECK(share.Remaining(40, start) ==
            RetryBudgetShare::Balance{.credit = 0.6, .slack = 1.0});
      CHECK(share.TrySpend(40, start));
      CHECK(share.Remaining(40, start) ==
            RetryBudgetShare::Balance{.credit = 0.0, .slack = 0.6});
    }
    SUBCASE("unspent credit expires") {
      CHECK(share.Remaining(std::nullopt, start + Milliseconds(9999)).credit ==
            0.6);
      CHECK(share.Remaining(std::nullopt, start + Milliseconds(10001)).credit ==
            0.0);
    }
  }
  SUBCASE("with more processes each has a smaller part") {
    int64_t spent = 0;
    while (share.TrySpend(25, start)) {
      ++spent;
    }
    CHECK(spent == 1);
  }
}

TEST_CASE("All shares together stay within the bound in any window") {
  CHECK(rc::check("without communication between processes", [] {
    const RetryBudgetShare::Settings settings = {
        .ratio = 0.2, .slack = 54, .window = seconds(10)};
    constexpr int kProcesses = 4;
    std::vector<RetryBudgetShare> shares(kProcesses,
                                         RetryBudgetShare(settings));
    std::deque<Instant> requests;
    std::deque<Instant> retries;
    Instant now = Instant() + seconds(100);
    for (int i = 0; i < 400; ++i) {
      now += Milliseconds(*rc::gen::inRange(0, 80));
      const auto process =
          static_cast<size_t>(*rc::gen::inRange(0, kProcesses));
      if (*rc::gen::inRange(0, 3) == 0) {
        shares[process].NoteRequest(now);
        requests.push_back(now);
      } else if (shares[process].TrySpend(kProcesses, now)) {
        retries.push_back(now);
      }
      while (!requests.empty() && requests.front() <= now - seconds(10)) {
        requests.pop_front();
      }
      while (!retries.empty() && retries.front() <= now - seconds(10)) {
        retries.pop_front();
      }
      RC_ASSERT(static_cast<double>(retries.size()) <=
                settings.ratio * static_cast<double>(requests.size()) +
                    settings.slack);
    }
  }));
}

// Guards against a restarted gateway that spends its slack a second time within
// a window. Gateways are killed and restarted while each spends all it can.
TEST_CASE("A restarted gateway can't spend its slack twice") {
  CHECK(rc::check("the bound holds over restarts", [] {
    const RetryBudgetShare::Settings settings = {
        .ratio = 0.2, .slack = 54, .window = seconds(10)};
    constexpr size_t kProcesses = 4;
    Instant now = Instant() + seconds(100);
    std::vector<RetryBudgetShare> shares(kProcesses,
                                         RetryBudgetShare(settings));
    std::vector<RetryBudgetMembers> members(
        kProcesses, MembersKnownTo(kProcesses, Instant()));
    std::vector<Instant> requests;
    std::vector<Instant> retries;
    for (int i = 0; i < 600; ++i) {
      now += Milliseconds(*rc::gen::inRange(0, 100));
      const auto process = *rc::gen::inRange<size_t>(0, kProcesses);
      const int event = *rc::gen::inRange(0, 100);
      if (event < 2) {
        shares[process] = RetryBudgetShare(settings);
        members[process] = MembersKnownTo(kProcesses, now);
      } else if (event < 40) {
        shares[process].NoteRequest(now);
        requests.push_back(now);
      } else {
        while (
            shares[process].TrySpend(members[process].SlackDivisor(now), now)) {
          retries.push_back(now);
        }
      }
      RC_ASSERT(WithinBound(settings, requests, retries, now));
    }
  }));
}

// Guards against requests that earn credit twice when callers move to another
// gateway. Backend servers fail briefly at random, so that every process then
// spends all its retries.
TEST_CASE("Requests that move to another gateway earn no credit twice") {
  CHECK(rc::check("the bound holds while the load moves", [] {
    const RetryBudgetShare::Settings settings = {
        .ratio = 0.2, .slack = 54, .window = seconds(10)};
    constexpr size_t kProcesses = 4;
    Instant now = Instant() + seconds(100);
    std::vector<RetryBudgetShare> shares(kProcesses,
                                         RetryBudgetShare(settings));
    std::vector<Instant> requests;
    std::vector<Instant> retries;
    size_t busy = 0;
    int rate = 1;
    for (int i = 0; i < 3000; ++i) {
      now += Milliseconds(10);
      const int event = *rc::gen::inRange(0, 1000);
      if (event < 2) {
        busy = (busy + 1) % kProcesses;
      } else if (event < 7) {
        rate = *rc::gen::inRange(1, 4);
      }
      for (int request = 0; request < rate; ++request) {
        shares[busy].NoteRequest(now);
        requests.push_back(now);
      }
      if (event >= 995) {
        for (RetryBudgetShare& share : shares) {
          while (share.TrySpend(kProcesses, now)) {
            retries.push_back(now);
          }
        }
      }
      RC_ASSERT(WithinBound(settings, requests, retries, now));
    }
  }));
}

// Guards against retries beyond the budget whenever requests, new processes and
// restarts come: after a pause, all at once, each time at another process.
TEST_CASE("The budget holds for bursts, joins and restarts in any order") {
  CHECK(rc::check("in any window", [] {
    const RetryBudgetShare::Settings settings = {
        .ratio = 0.2, .slack = 54, .window = seconds(10)};
    struct Process {
      RetryBudgetMembers members;
      RetryBudgetShare share;
      Instant last_list;
    };
    constexpr size_t kProcesses = 6;
    constexpr int kMaxBurst = 1000;
    const RetryBudgetMembers::Settings lists;
    Instant now = Instant() + seconds(100);
    std::map<size_t, Process> running;
    std::set<base::HostId> registered;
    std::vector<Instant> requests;
    std::vector<Instant> retries;
    for (int step = 0; step < 100; ++step) {
      now += Milliseconds(*rc::gen::inRange(0, 2000));
      const auto i = *rc::gen::inRange<size_t>(0, kProcesses);
      if (!running.contains(i)) {
        const base::HostId self{std::to_string(i)};
        Process process{{lists, self, now}, RetryBudgetShare(settings), now};
        process.members.NoteRegistered(!registered.insert(self).second, now);
        process.members.NoteListed(registered);
        running.emplace(i, std::move(process));
      } else if (*rc::gen::inRange(0, 10) == 0) {
        running.erase(i);
        continue;
      }
      const bool is_burst = *rc::gen::inRange(0, 6) == 0;
      const int count = is_burst ? *rc::gen::inRange(1, kMaxBurst) : 0;
      for (int request = 0; request < count; ++request) {
        running.at(i).share.NoteRequest(now);
        requests.push_back(now);
      }
      for (auto& [other, process] : running) {
        if (now - process.last_list >= lists.list_interval) {
          process.members.NoteListed(registered);
          process.last_list = now;
        }
        int64_t most = *rc::gen::inRange(0, kMaxBurst / 4);
        while (most-- > 0 &&
               process.share.TrySpend(process.members.SlackDivisor(now), now)) {
          retries.push_back(now);
        }
      }
    }
    RC_ASSERT(AllWithinBound(settings, requests, retries));
  }));
}

// Guards against a share that keeps to the budget by leaving most of it unused.
TEST_CASE("A steady load may repeat four fifths of what the ratio allows") {
  RetryBudgetShare share({.ratio = 0.2, .slack = 0, .window = seconds(10)});
  int64_t spent = 0;
  for (Instant now = Instant() + seconds(100); now < Instant() + seconds(130);
       now += Milliseconds(10)) {
    share.NoteRequest(now);
    const bool warm = now >= Instant() + seconds(120);
    spent += share.TrySpend(std::nullopt, now) && warm ? 1 : 0;
  }
  CHECK(spent >= 1000 * 0.2 * 0.8 - 1);
}

}  // namespace carawayvalve::core
