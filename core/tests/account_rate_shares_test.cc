#include "carawayvalve/core/account_rate_shares.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/core/account_credit_request.h"
#include "carawayvalve/core/retry_budget_members.h"

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

namespace {

const base::ClientAccountId kAccount{"account"};
// The tolerance and window of the deployment that limits its accounts.
constexpr AccountRateTolerance kTolerance{0.1, 190000};
constexpr seconds kWindow(8);
constexpr base::Duration kStep = Milliseconds(10);

double Seconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

// What an account sent to backend servers at one time.
struct Spent {
  Instant at;
  double amount = 0;
};

// Returns the most that was spent in a window that ends at or after `from`.
double MostInWindow(const std::vector<Spent>& spent, Instant from) {
  double most = 0;
  double sum = 0;
  size_t first = 0;
  for (const Spent& end : spent) {
    sum += end.amount;
    for (; spent[first].at <= end.at - kWindow; ++first) {
      sum -= spent[first].amount;
    }
    most = end.at >= from ? std::max(most, sum) : most;
  }
  return most;
}

// Returns the least that was spent in a window within this span of time.
double LeastInWindow(const std::vector<Spent>& spent,
                     Instant from,
                     Instant until) {
  double least = 1e18;
  for (Instant end = from + kWindow; end <= until; end += Milliseconds(100)) {
    double sum = 0;
    for (const Spent& one : spent) {
      sum += one.at > end - kWindow && one.at <= end ? one.amount : 0;
    }
    least = std::min(least, sum);
  }
  return least;
}

double Bound(const config::AccountRateLimit& limit) {
  return (limit.per_second * Seconds(kWindow) +
          static_cast<double>(limit.burst)) *
             (1 + kTolerance.fraction) +
         kTolerance.slack;
}

// Gateways that exchange credit over a network that delays and loses messages.
class Network {
 public:
  Network(size_t count, const config::AccountRateLimit& limit, uint64_t seed)
      : limit(limit), generator(seed), gateways(count) {
    for (size_t i = 0; i < count; ++i) {
      this->Boot(i);
    }
  }

  size_t Pick(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(this->generator);
  }
  bool Happens(double chance) {
    return std::bernoulli_distribution(chance)(this->generator);
  }

  void Boot(size_t i) {
    const base::HostId self{std::to_string(i)};
    Gateway& gateway = this->gateways[i];
    gateway = {};
    gateway.boot = std::to_string(++this->boots);
    gateway.members.emplace(RetryBudgetMembers::Settings{}, self, this->now);
    gateway.members->NoteRegistered(!this->registered.insert(self).second,
                                    this->now);
    gateway.next_list = this->now;
    this->SetLimits(gateway);
  }
  void Kill(size_t i) { this->gateways[i].boot.clear(); }
  bool IsUp(size_t i) const { return !this->gateways[i].boot.empty(); }
  void Cut(size_t i, int group) { this->gateways[i].group = group; }
  void Add() {
    this->gateways.emplace_back();
    this->Boot(this->gateways.size() - 1);
  }
  void Lower(double factor) {
    this->limit.per_second *= factor;
    this->limit.burst =
        static_cast<int64_t>(static_cast<double>(this->limit.burst) * factor);
    for (Gateway& gateway : this->gateways) {
      this->SetLimits(gateway);
    }
  }
  size_t size() const { return this->gateways.size(); }

  void Request(size_t i, double amount) {
    if (!this->IsUp(i)) {
      return;
    }
    ++this->asked;
    AccountCreditRequest request(this->gateways[i].shares, kAccount, amount,
                                 Milliseconds(500));
    const CreditStep step = request.Start(this->now);
    this->Take(i, {std::move(request), amount, {}}, step);
  }

  void Run(base::Duration time) {
    for (const Instant end = this->now + time; this->now < end;) {
      this->now += kStep;
      this->Deliver();
      for (size_t i = 0; i < this->gateways.size(); ++i) {
        if (this->IsUp(i)) {
          this->Tick(i);
        }
      }
    }
  }

  config::AccountRateLimit limit;
  std::mt19937_64 generator;
  Instant now = Instant() + seconds(1000);
  double loss = 0;
  // The part of the admitted requests that turn out not to have run.
  double not_run = 0;
  base::Duration max_delay = Milliseconds(10);
  std::vector<Spent> spent;
  int64_t asked = 0;
  int64_t refused = 0;

 private:
  struct Waiting {
    AccountCreditRequest request;
    double amount = 0;
    Instant until;
  };
  struct Gateway {
    AccountRateShares shares;
    std::optional<RetryBudgetMembers> members;
    std::string boot;
    int group = 0;
    Instant next_list;
    Instant next_pass;
    Instant next_hear;
    std::vector<Waiting> waiting;
  };
  struct Message {
    size_t from = 0;
    std::string giver_boot;
    size_t to = 0;
    std::variant<CreditQuestion, CreditGrant> content;
  };

  void SetLimits(Gateway& gateway) {
    gateway.shares.SetLimits({{kAccount, this->limit}}, kTolerance, this->now);
  }

  void Send(size_t from,
            size_t to,
            const std::variant<CreditQuestion, CreditGrant>& content) {
    if (to == from || this->Happens(this->loss)) {
      return;
    }
    const base::Duration delay = this->max_delay * this->Pick(100) / 100;
    const Message message{from, this->gateways[from].boot, to, content};
    this->messages.emplace(this->now + delay, message);
    if (this->Happens(this->loss)) {
      this->messages.emplace(this->now + delay + kStep, message);
    }
  }

  void Deliver() {
    while (!this->messages.empty() &&
           this->messages.begin()->first <= this->now) {
      const Message message = this->messages.begin()->second;
      this->messages.erase(this->messages.begin());
      Gateway& to = this->gateways[message.to];
      if (to.boot.empty() || to.group != this->gateways[message.from].group) {
        continue;
      }
      if (const auto* question =
              std::get_if<CreditQuestion>(&message.content)) {
        this->Send(message.to, message.from,
                   to.shares.Answer(*question, this->now));
      } else {
        this->Apply(message.to, message.giver_boot,
                    std::get<CreditGrant>(message.content));
      }
    }
  }

  void Apply(size_t i, const std::string& boot, const CreditGrant& grant) {
    Gateway& gateway = this->gateways[i];
    if (!gateway.shares.Apply(boot, grant, this->now)) {
      return;
    }
    std::vector<Waiting> waiting;
    waiting.swap(gateway.waiting);
    for (Waiting& one : waiting) {
      const CreditStep step = one.request.OnGrant(grant, this->now);
      this->Take(i, std::move(one), step);
    }
  }

  void Take(size_t i, Waiting waiting, const CreditStep& step) {
    Gateway& gateway = this->gateways[i];
    if (const auto* admitted = std::get_if<AccountAdmitted>(&step)) {
      if (this->Happens(this->not_run)) {
        gateway.shares.Refund(kAccount, admitted->charge, this->now);
      } else {
        this->spent.push_back({this->now, waiting.amount});
      }
    } else if (const auto* ask = std::get_if<AskPeers>(&step)) {
      for (const base::HostId& peer : ask->peers) {
        this->Send(i, std::stoul(peer.value), ask->question);
      }
      waiting.until = this->now + waiting.request.Timeout();
      gateway.waiting.push_back(std::move(waiting));
    } else if (std::holds_alternative<KeepWaiting>(step)) {
      gateway.waiting.push_back(std::move(waiting));
    } else {
      ++this->refused;
    }
  }

  void Tick(size_t i) {
    Gateway& gateway = this->gateways[i];
    if (this->now >= gateway.next_list) {
      gateway.next_list = this->now + seconds(10);
      gateway.members->NoteListed(this->registered);
    }
    if (this->now >= gateway.next_pass) {
      gateway.next_pass = this->now + Milliseconds(100);
      if (this->now >= gateway.next_hear) {
        gateway.next_hear = this->now + Milliseconds(400);
        this->Hear(i);
      }
      for (const auto& [host, grant] :
           gateway.shares.TakeForCollectors(this->now)) {
        this->Send(i, std::stoul(host.value), grant);
      }
    }
    std::vector<Waiting> waiting;
    waiting.swap(gateway.waiting);
    for (Waiting& one : waiting) {
      if (one.until > this->now) {
        gateway.waiting.push_back(std::move(one));
      } else {
        const CreditStep step = one.request.OnTimeout(this->now);
        this->Take(i, std::move(one), step);
      }
    }
  }

  // Applies what the gossip of the others tells of who is there.
  void Hear(size_t i) {
    Gateway& gateway = this->gateways[i];
    std::vector<base::HostId> live;
    for (size_t peer = 0; peer < this->gateways.size(); ++peer) {
      Gateway& other = this->gateways[peer];
      if (other.boot.empty() || other.group != gateway.group) {
        continue;
      }
      live.push_back({std::to_string(peer)});
      if (peer != i && !this->Happens(this->loss)) {
        other.members->NoteSeen({std::to_string(i)});
        gateway.members->NoteCountedBy({std::to_string(peer)});
      }
    }
    gateway.shares.SetHosts({std::to_string(i)}, std::move(live));
    gateway.shares.SetDivisor(gateway.members->RateDivisor(this->now),
                              this->now);
  }

  std::deque<Gateway> gateways;
  std::multimap<Instant, Message> messages;
  std::set<base::HostId> registered;
  int64_t boots = 0;
};

// Returns the tokens of a request of the deployment that limits its accounts:
// of one of three kinds, at most 60,000.
double RequestSize(std::mt19937_64& generator) {
  struct Kind {
    double log_mean;
    double log_deviation;
  };
  static const std::array<Kind, 3> kKinds = {Kind{9.5, 0.6}, Kind{8.9, 0.5},
                                             Kind{7.0, 0.6}};
  const Kind& kind =
      kKinds[std::discrete_distribution<size_t>({50, 36, 53})(generator)];
  return std::clamp(std::lognormal_distribution<double>(
                        kind.log_mean, kind.log_deviation)(generator),
                    200.0, 60000.0);
}

}  // namespace

TEST_CASE("AccountRateShares") {
  const Instant start = Instant() + seconds(100);
  AccountRateShares shares;
  shares.SetLimits({{kAccount, {config::RateUnit::kTokens, 1000, 2000, 1}}}, {},
                   start);
  shares.SetHosts({"self"}, {{"self"}});
  shares.SetDivisor(2, start);

  SUBCASE("it begins without credit and earns its part") {
    CHECK(std::get<AccountShort>(shares.Admit(kAccount, 500, start)) ==
          AccountShort{std::nullopt, 500});
    CHECK(shares.Refuse(kAccount, 500, 0, start) ==
          AccountExceeded{Milliseconds(500)});
    const AccountAdmission admission =
        shares.Admit(kAccount, 500, start + seconds(1));
    REQUIRE(std::holds_alternative<AccountAdmitted>(admission));

    SUBCASE("a request that hasn't run gets its credit back") {
      shares.Refund(kAccount, std::get<AccountAdmitted>(admission).charge,
                    start + seconds(1));
      CHECK(shares.CanAdmit(kAccount, 500, start + seconds(1)));
      CHECK(shares.Statuses(start + seconds(1)).at(kAccount).spent == 0);
    }
  }
  SUBCASE("credit expires after the time in which the burst is earned") {
    CHECK(shares.CanAdmit(kAccount, 900, start + seconds(60)));
    CHECK_FALSE(shares.CanAdmit(kAccount, 1001, start + seconds(60)));
  }
  SUBCASE("a request larger than the burst never runs") {
    CHECK(std::holds_alternative<AccountRequestTooLarge>(
        shares.Admit(kAccount, 2001, start)));
  }
  SUBCASE("a grant counts once") {
    const CreditGrant grant{kAccount, 1, 0, {{start, 700}}, 0};
    CHECK(shares.Apply("boot", grant, start));
    CHECK_FALSE(shares.Apply("boot", grant, start));
    CHECK_FALSE(shares.CanAdmit(kAccount, 701, start));
  }
  SUBCASE("what it gives it no longer has") {
    const CreditGrant grant =
        shares.Answer({kAccount, 1, 400, false}, start + seconds(1));
    CHECK(AmountOf(grant.credit) == doctest::Approx(400));
    CHECK_FALSE(shares.CanAdmit(kAccount, 101, start + seconds(1)));
  }
  SUBCASE("nothing is earned while others don't count it") {
    shares.SetDivisor(std::nullopt, start);
    CHECK_FALSE(shares.CanAdmit(kAccount, 1, start + seconds(1)));
  }
}

// Guards against gateways that together let an account run more than its limit
// allows, whatever happens to them and to their messages.
TEST_CASE("All gateways together keep the limit in every window") {
  CHECK(rc::check("over losses, cuts, kills, restarts and joins", [] {
    const auto count =
        *rc::gen::weightedOneOf<size_t>({{1, rc::gen::inRange<size_t>(41, 301)},
                                         {9, rc::gen::inRange<size_t>(1, 41)}});
    Network network(count, {config::RateUnit::kTokens, 47000, 47000, 200},
                    *rc::gen::arbitrary<uint64_t>());
    network.loss = *rc::gen::element(0.0, 0.05, 0.3);
    network.max_delay = Milliseconds(*rc::gen::element(10, 200, 3000));
    network.not_run = *rc::gen::element(0.0, 0.2);
    const double bound = Bound(network.limit);
    network.Run(seconds(*rc::gen::inRange(0, 5)));
    for (int step = 0; step < 60; ++step) {
      const size_t i = network.Pick(network.size());
      switch (network.Pick(12)) {
        case 0:
          network.Kill(i);
          break;
        case 1:
          network.Boot(i);
          break;
        case 2:
          network.Cut(i, static_cast<int>(network.Pick(3)));
          break;
        case 3:
          for (size_t other = 0; other < network.size(); ++other) {
            network.Cut(other, 0);
          }
          break;
        case 4:
          network.Add();
          break;
        case 5:
          for (size_t other = 0; other < network.size() && network.Happens(0.1);
               ++other) {
            network.Boot(other);
          }
          break;
        default:
          break;
      }
      for (int request = 0; request < 30; ++request) {
        network.Request(network.Pick(network.size()),
                        RequestSize(network.generator));
      }
      network.Run(Milliseconds(network.Pick(400)));
    }
    RC_ASSERT(MostInWindow(network.spent, Instant()) <= bound);
  }));
}

TEST_CASE("A lowered limit holds after one window") {
  CHECK(rc::check("in every window after it", [] {
    Network network(*rc::gen::inRange<size_t>(1, 60),
                    {config::RateUnit::kTokens, 100000, 200000, 200},
                    *rc::gen::arbitrary<uint64_t>());
    Instant lowered;
    for (int step = 0; step < 300; ++step) {
      if (step == 100) {
        network.Lower(0.4);
        lowered = network.now;
      }
      for (int request = 0; request < 3; ++request) {
        network.Request(network.Pick(network.size()),
                        RequestSize(network.generator));
      }
      network.Run(Milliseconds(100));
    }
    RC_ASSERT(MostInWindow(network.spent, lowered + kWindow) <=
              Bound(network.limit));
  }));
}

// Guards against a limit that is kept by leaving a part of it unused.
TEST_CASE("An account that asks for twice its limit gets nearly all of it") {
  CHECK(rc::check("with callers that are spread unevenly and move", [] {
    Network network(28, {config::RateUnit::kTokens, 47000, 47000, 200},
                    *rc::gen::arbitrary<uint64_t>());
    network.Run(seconds(5));
    const Instant from = network.now;
    size_t first = 0;
    double due = 0;
    for (int step = 0; step < 2000; ++step) {
      if (step % 300 == 0) {
        first = network.Pick(network.size());
      }
      for (due += 2 * 470; due > 0;) {
        const double amount = RequestSize(network.generator);
        due -= amount;
        const size_t spread = network.Happens(0.8) ? 3 : network.size();
        network.Request((first + network.Pick(spread)) % network.size(),
                        amount);
      }
      network.Run(kStep);
    }
    RC_ASSERT(LeastInWindow(network.spent, from, network.now) >=
              0.9 * network.limit.per_second * Seconds(kWindow));
  }));
}

// The requests are those that one bucket for all gateways would admit.
TEST_CASE("An account that keeps to its limit is hardly ever refused") {
  CHECK(rc::check("at most once in 1,000 requests", [] {
    Network network(28, {config::RateUnit::kTokens, 47000, 47000, 200},
                    *rc::gen::arbitrary<uint64_t>());
    network.Run(seconds(8));
    const double burst = static_cast<double>(network.limit.burst);
    const double rate = network.limit.per_second;
    double bucket = burst;
    size_t first = 0;
    for (int step = 0; network.asked < 1000; ++step) {
      if (step % 300 == 0) {
        first = network.Pick(network.size());
      }
      bucket = std::min(burst, bucket + rate * Seconds(kStep));
      const double amount = RequestSize(network.generator);
      if (network.Happens(0.03) && amount <= bucket) {
        bucket -= amount;
        const size_t spread = network.Happens(0.8) ? 3 : network.size();
        network.Request((first + network.Pick(spread)) % network.size(),
                        amount);
      }
      network.Run(kStep);
    }
    RC_ASSERT(network.refused <= 1);
  }));
}

}  // namespace carawayvalve::core
