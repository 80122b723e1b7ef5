#include "carawayvalve/core/backend_rate_limits.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr Instant kStart = Instant() + seconds(100);
const base::BackendServerId kServer = {"limited"};
constexpr int64_t kRun = 7;

base::HostId HostOf(int64_t number) {
  return {"host-" + std::to_string(number)};
}

RateSharers SharersOf(int64_t self, int64_t count) {
  RateSharers sharers{HostOf(self), {}, count};
  for (int64_t number = 0; number < count; ++number) {
    sharers.live.push_back(HostOf(number));
  }
  return sharers;
}

BackendRateStatement Says(const RateStatement& statement, Instant at) {
  return {kServer, kRun, statement, at, at, false};
}

// Processes that share one backend server, and send to it whenever they have a
// request and may. What one of them hears reaches the others later: news at
// once, the rest every second.
struct Fleet {
  explicit Fleet(int64_t count) {
    for (int64_t number = 0; number < count; ++number) {
      this->limits.emplace_back();
      this->limits.back().SetSharers(SharersOf(number, count), kStart);
    }
  }

  // Sends one request from `sender` if it may; the answer comes
  // `answer_time` later, and its news reaches the others `news_time` after it.
  void Send(size_t sender, Instant now) {
    if (!this->limits[sender].MaySend(kServer, kRun, now)) {
      return;
    }
    this->limits[sender].NoteSent(kServer, now);
    this->arrivals.push_back(now);
    this->answers.push_back({now + this->answer_time, sender, now});
  }

  // Delivers the answers and the news that are due.
  void Advance(Instant now) {
    while (!this->answers.empty() && this->answers.front().at <= now) {
      const Answer answer = this->answers.front();
      this->answers.pop_front();
      BackendRateStatement says = Says(this->statement, now);
      says.asked = answer.sent;
      const bool is_news = this->limits[answer.sender].NoteStatement(says, now);
      if (is_news || now >= this->told[answer.sender] + seconds(1)) {
        this->told[answer.sender] = now;
        says.from_peer = true;
        this->news.push_back({now + this->news_time, says});
      }
    }
    while (!this->news.empty() && this->news.front().at <= now) {
      for (BackendRateLimits& limits_of_one : this->limits) {
        limits_of_one.NoteStatement(this->news.front().statement, now);
      }
      this->news.pop_front();
    }
  }

  int64_t ArrivalsIn(Instant from, Instant to) const {
    return std::count_if(this->arrivals.begin(), this->arrivals.end(),
                         [&](Instant at) { return at > from && at <= to; });
  }

  struct Answer {
    Instant at;
    size_t sender = 0;
    Instant sent;
  };
  struct News {
    Instant at;
    BackendRateStatement statement;
  };

  base::Duration answer_time = Milliseconds(50);
  base::Duration news_time = Milliseconds(150);
  RateStatement statement;
  std::vector<BackendRateLimits> limits;
  std::vector<Instant> arrivals;
  std::deque<Answer> answers;
  std::deque<News> news;
  // When each process last told the others.
  std::map<size_t, Instant> told;
};

}  // namespace

TEST_CASE("BackendRateLimits follows what a backend server says") {
  BackendRateLimits limits;
  limits.SetSharers(SharersOf(0, 1), kStart);
  CHECK_FALSE(limits.NoteStatement(Says(NoRateLimit{}, kStart), kStart));
  CHECK(limits.NoteStatement(Says(RateLimit{2}, kStart), kStart));
  CHECK_FALSE(limits.MaySend(kServer, kRun, kStart));
  const Instant later = kStart + seconds(1);
  CHECK(limits.MaySend(kServer, kRun, later));

  SUBCASE("the same limit again is no news") {
    CHECK_FALSE(limits.NoteStatement(Says(RateLimit{2.1}, later), later));
  }
  SUBCASE("an answer without one withdraws it") {
    CHECK(limits.NoteStatement(Says(NoRateLimit{}, later), later));
    CHECK_FALSE(limits.ShareOf(kServer).has_value());
    CHECK(limits.OwnStatements(later).size() == 1);
    CHECK(limits.OwnStatements(later + seconds(20)).empty());
  }
  SUBCASE("one to a request that was sent before doesn't") {
    BackendRateStatement overtaken = Says(NoRateLimit{}, later);
    overtaken.asked = kStart - Milliseconds(10);
    CHECK_FALSE(limits.NoteStatement(overtaken, later));
    CHECK(limits.ShareOf(kServer) == 2);
  }
  SUBCASE("an older statement of a peer doesn't") {
    CHECK_FALSE(
        limits.NoteStatement(Says(NoRateLimit{}, kStart - seconds(1)), later));
    CHECK(limits.ShareOf(kServer) == 2);
  }
  SUBCASE("it doesn't hold for the next run") {
    limits.NoteSent(kServer, later);
    CHECK_FALSE(limits.MaySend(kServer, kRun, later));
    CHECK(limits.MaySend(kServer, kRun + 1, later));
  }
  SUBCASE("one that takes nothing is tried now and then") {
    limits.NoteStatement(Says(RateLimit{0}, later), later);
    limits.NoteSent(kServer, later);
    CHECK_FALSE(limits.MaySend(kServer, kRun, later + seconds(4)));
    CHECK(limits.MaySend(kServer, kRun, later + seconds(12)));
  }
}

TEST_CASE("a process that doesn't know the others yet has no share") {
  BackendRateLimits limits;
  limits.SetSharers({HostOf(0), {HostOf(0)}, 0}, kStart);
  limits.NoteStatement(Says(RateLimit{100}, kStart), kStart);
  CHECK(limits.ShareOf(kServer) == 0);
  CHECK_FALSE(limits.MaySend(kServer, kRun, kStart + seconds(3)));
}

TEST_CASE("a limit of few requests is shared by few processes") {
  constexpr int64_t kCount = 100;
  int64_t sharers = 0;
  int64_t tried = 0;
  for (int64_t number = 0; number < kCount; ++number) {
    BackendRateLimits limits;
    limits.SetSharers(SharersOf(number, kCount), kStart);
    limits.NoteStatement(Says(RateLimit{4.8}, kStart), kStart);
    sharers += limits.ShareOf(kServer) == 1.2 ? 1 : 0;
    // None of those that share it has a request for so long.
    tried += limits.MaySend(kServer, kRun, kStart + seconds(6)) ? 1 : 0;
  }
  CHECK(sharers == 4);

  SUBCASE("the others try one after another whether it still holds") {
    CHECK(tried > sharers);
    CHECK(tried < sharers + 8);
  }
}

// The platform's rule: from 3 s after the naming on, at most one and a half
// times what the limit allows, and 5 requests more, in any 4 s. The window
// reaches back before the naming, when four times as many may have come.
TEST_CASE("all processes together keep to a backend server's limit") {
  CHECK(rc::check("any fleet, limit and distribution of requests", [] {
    const auto count = *rc::gen::inRange<int64_t>(1, 40);
    const double limit = *rc::gen::inRange(5, 400) / 10.0;
    const double before = limit * *rc::gen::inRange(5, 36) / 10.0;
    // Share of the requests that come to the first process.
    const double skew = *rc::gen::inRange(0, 10) / 10.0;
    const auto seed = *rc::gen::arbitrary<uint32_t>();
    std::mt19937 generator(seed);
    std::uniform_real_distribution<double> uniform;
    Fleet fleet(count);
    const Instant named = kStart + seconds(5);
    const Instant end = named + seconds(16);
    for (Instant now = kStart; now < end; now += Milliseconds(1)) {
      fleet.statement =
          now < named ? RateStatement(NoRateLimit{}) : RateLimit{limit};
      fleet.Advance(now);
      if (uniform(generator) < before / 1000) {
        const size_t sender =
            uniform(generator) < skew ? 0 : generator() % fleet.limits.size();
        fleet.Send(sender, now);
      }
    }
    for (Instant to = named + seconds(3); to < end; to += Milliseconds(50)) {
      RC_ASSERT(static_cast<double>(fleet.ArrivalsIn(to - seconds(4), to)) <=
                1.5 * limit * 4 + 5);
    }
  }));
}

TEST_CASE("a withdrawn limit is forgotten by all") {
  Fleet fleet(10);
  fleet.statement = RateLimit{5};
  const auto run = [&](Instant from, base::Duration time) {
    for (Instant now = from; now < from + time; now += Milliseconds(10)) {
      fleet.Advance(now);
      fleet.Send(
          static_cast<size_t>(now.time_since_epoch().count() / 10000000) %
              fleet.limits.size(),
          now);
    }
  };
  run(kStart, seconds(10));
  CHECK(fleet.ArrivalsIn(kStart + seconds(6), kStart + seconds(10)) <= 20);
  fleet.statement = NoRateLimit{};
  run(kStart + seconds(10), seconds(4));
  CHECK(fleet.ArrivalsIn(kStart + seconds(13), kStart + seconds(14)) >= 99);
}

}  // namespace carawayvalve::core
