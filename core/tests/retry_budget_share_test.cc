#include "carawayvalve/core/retry_budget_share.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
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

// Whether the window that ends with `now` keeps the platform's rule, which
// takes the requests of the window, of the one half a window before or of the
// one before, whichever are most.
bool WithinBound(const RetryBudgetShare::Settings& settings,
                 const std::vector<Instant>& requests,
                 const std::vector<Instant>& retries,
                 Instant now) {
  const Instant from = now - settings.window + base::Duration(1);
  int64_t most = 0;
  for (const base::Duration earlier :
       {settings.window * 0, settings.window / 2, settings.window}) {
    most = std::max(most, CountIn(requests, from - earlier,
                                  from - earlier + settings.window));
  }
  return static_cast<double>(CountIn(retries, from, from + settings.window)) <=
         settings.ratio * static_cast<double>(most) + settings.slack;
}

// Returns what a process knows that has started among so many.
RetryBudgetMembers StartedAmong(size_t processes, Instant started) {
  RetryBudgetMembers sharers({}, {"0"}, started);
  sharers.NoteRegistered(true, started);
  std::set<base::HostId> listed;
  for (size_t i = 0; i < processes; ++i) {
    listed.insert({std::to_string(i)});
  }
  sharers.NoteListed(listed);
  return sharers;
}

}  // namespace

TEST_CASE("RetryShare") {
  const Instant start = Instant() + seconds(100);
  RetryBudgetShare share({.ratio = 0.2, .slack = 50, .window = seconds(10)});

  SUBCASE("a quiet process has its part of the slack") {
    int64_t spent = 0;
    while (share.TrySpend(4, start)) {
      ++spent;
    }
    CHECK(spent == 10);

    SUBCASE("and has it again when the window has passed") {
      CHECK_FALSE(share.CanSpend(4, start + Milliseconds(9999)));
      CHECK(share.CanSpend(4, start + seconds(10)));
    }
  }
  SUBCASE("requests earn retries without any slack") {
    for (int i = 0; i < 10; ++i) {
      share.NoteRequest(start);
    }
    CHECK(share.TrySpend(std::nullopt, start));
    CHECK_FALSE(share.TrySpend(std::nullopt, start));

    SUBCASE("and slack makes up what is left of them to a whole one") {
      CHECK(share.Remaining(40, start) ==
            RetryBudgetShare::Balance{.credit = 0.6, .slack = 1.0});
      CHECK(share.TrySpend(40, start));
      CHECK(share.Remaining(40, start) ==
            RetryBudgetShare::Balance{.credit = 0.0, .slack = 0.6});
    }
    SUBCASE("but what they earned lapses") {
      CHECK(share.Remaining(std::nullopt, start + Milliseconds(2499)).credit == 0.6);
      CHECK(share.Remaining(std::nullopt, start + Milliseconds(2500)).credit == 0.0);
    }
  }
  SUBCASE("more processes have smaller parts") {
    int64_t spent = 0;
    while (share.TrySpend(25, start)) {
      ++spent;
    }
    CHECK(spent == 1);
  }
}

TEST_CASE("all shares together keep to the bound in any span of time") {
  CHECK(rc::check("cut off from one another or not", [] {
    const RetryBudgetShare::Settings settings = {
        .ratio = 0.2, .slack = 54, .window = seconds(10)};
    constexpr int kProcesses = 4;
    std::vector<RetryBudgetShare> shares(kProcesses, RetryBudgetShare(settings));
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

// Requests come to gateways that are killed and start again while each spends
// all that it may.
TEST_CASE("a gateway that starts again has not its slack a second time") {
  CHECK(rc::check("the bound holds over restarts", [] {
    const RetryBudgetShare::Settings settings = {
        .ratio = 0.2, .slack = 54, .window = seconds(10)};
    constexpr size_t kProcesses = 4;
    Instant now = Instant() + seconds(100);
    std::vector<RetryBudgetShare> shares(kProcesses, RetryBudgetShare(settings));
    std::vector<RetryBudgetMembers> sharers(kProcesses,
                                      StartedAmong(kProcesses, Instant()));
    std::vector<Instant> requests;
    std::vector<Instant> retries;
    for (int i = 0; i < 600; ++i) {
      now += Milliseconds(*rc::gen::inRange(0, 100));
      const auto process = *rc::gen::inRange<size_t>(0, kProcesses);
      const int what = *rc::gen::inRange(0, 100);
      if (what < 2) {
        shares[process] = RetryBudgetShare(settings);
        sharers[process] = StartedAmong(kProcesses, now);
      } else if (what < 40) {
        shares[process].NoteRequest(now);
        requests.push_back(now);
      } else {
        while (shares[process].TrySpend(sharers[process].SlackDivisor(now), now)) {
          retries.push_back(now);
        }
      }
      RC_ASSERT(WithinBound(settings, requests, retries, now));
    }
  }));
}

// Callers move to other gateways when theirs is stopped, and backend servers
// fail for a moment now and then, so that all is tried again that may be.
TEST_CASE("requests that move to another gateway earn no retry twice") {
  CHECK(rc::check("the bound holds while the load moves", [] {
    const RetryBudgetShare::Settings settings = {
        .ratio = 0.2, .slack = 54, .window = seconds(10)};
    constexpr size_t kProcesses = 4;
    Instant now = Instant() + seconds(100);
    std::vector<RetryBudgetShare> shares(kProcesses, RetryBudgetShare(settings));
    std::vector<Instant> requests;
    std::vector<Instant> retries;
    size_t busy = 0;
    int rate = 1;
    for (int i = 0; i < 3000; ++i) {
      now += Milliseconds(10);
      const int what = *rc::gen::inRange(0, 1000);
      if (what < 2) {
        busy = (busy + 1) % kProcesses;
      } else if (what < 7) {
        rate = *rc::gen::inRange(1, 4);
      }
      for (int request = 0; request < rate; ++request) {
        shares[busy].NoteRequest(now);
        requests.push_back(now);
      }
      if (what >= 995) {
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

}  // namespace carawayvalve::core
