#include "carawayvalve/core/room_admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;

namespace {

constexpr Milliseconds kStep(5);

struct Arrivals {
  std::string route;
  std::string account;
  int64_t priority = 0;
  Milliseconds own_time{0};
  Milliseconds objective{0};
  Milliseconds period{0};
  Milliseconds from{0};
  Milliseconds until{10000};
};

struct Result {
  int64_t asked = 0;
  int64_t in_objective = 0;
  int64_t served = 0;
  int64_t refused = 0;

  double InObjective() const { return Part(this->in_objective); }
  double Served() const { return Part(this->served); }
  double Part(int64_t count) const {
    return static_cast<double>(count) / static_cast<double>(this->asked);
  }
};

using Results = std::map<std::string, Result>;

// Engines that serve one request after the other in the order in which they
// get them.
class Engines {
 public:
  explicit Engines(size_t count) : free_at(count) {}

  RoomOffer Offer(base::Duration own_time, Instant now) const {
    const base::Duration ahead = std::max<base::Duration>(
        *std::min_element(this->free_at.begin(), this->free_at.end()) - now,
        base::Duration(0));
    return {ahead + own_time, ahead};
  }
  // Returns when the request is answered.
  Instant Send(base::Duration own_time, Instant now) {
    const auto first =
        std::min_element(this->free_at.begin(), this->free_at.end());
    *first = std::max(*first, now) + own_time;
    return *first;
  }

 private:
  std::vector<Instant> free_at;
};

struct Pending {
  RoomRequest request;
  base::Duration own_time{};
  std::string name;
};

// Plays the arrivals of ten seconds; each is counted under its name.
class Day {
 public:
  explicit Day(size_t engines) : engines(engines) {}

  Results Play(const std::vector<Arrivals>& all) {
    const Instant start = Instant() + std::chrono::seconds(100);
    for (Instant now = start; now < start + std::chrono::seconds(16);
         now += kStep) {
      this->Reconsider(now);
      for (const Arrivals& one : all) {
        const base::Duration age = now - start;
        if (age >= one.from && age < one.until &&
            (age - one.from) % one.period < kStep) {
          this->Arrive(one, now);
        }
      }
    }
    return this->results;
  }

 private:
  void Arrive(const Arrivals& one, Instant now) {
    const Pending pending = {{{one.route},
                              {one.account},
                              1,
                              one.priority,
                              now,
                              one.objective,
                              now + Milliseconds(3000)},
                             one.own_time,
                             one.route + one.account};
    ++this->results[pending.name].asked;
    const RoomOffer offer = this->engines.Offer(one.own_time, now);
    const RoomDecision decision =
        this->admission.Decide(pending.request, offer, now);
    if (std::holds_alternative<WaitForRoom>(decision)) {
      this->waiting[this->admission.Add(pending.request, offer, now)] = pending;
      return;
    }
    this->Apply(decision, pending, now);
  }
  void Reconsider(Instant now) {
    if ((now - Instant()) % Milliseconds(25) != base::Duration(0)) {
      return;
    }
    for (const RoomAdmission::Ticket ticket : this->admission.InOrder(now)) {
      const Pending pending = this->waiting.at(ticket);
      const RoomDecision decision = this->admission.Reconsider(
          ticket, this->engines.Offer(pending.own_time, now), now);
      if (!std::holds_alternative<WaitForRoom>(decision)) {
        this->waiting.erase(ticket);
        this->Apply(decision, pending, now);
      }
    }
  }
  void Apply(const RoomDecision& decision,
             const Pending& pending,
             Instant now) {
    Result& result = this->results[pending.name];
    if (std::holds_alternative<RefuseForRoom>(decision)) {
      ++result.refused;
      return;
    }
    const Instant answered = this->engines.Send(pending.own_time, now);
    result.served += answered <= pending.request.deadline ? 1 : 0;
    result.in_objective +=
        answered <= pending.request.arrived + pending.request.objective ? 1 : 0;
  }

  Engines engines;
  RoomAdmission admission;
  std::map<RoomAdmission::Ticket, Pending> waiting;
  Results results;
};

}  // namespace

TEST_CASE("a crowd of one class beside two steady classes") {
  const std::vector<Arrivals> steady = {
      {"query", "", 1, Milliseconds(100), Milliseconds(500), Milliseconds(80)},
      {"short", "", 0, Milliseconds(40), Milliseconds(400), Milliseconds(40)}};
  const Results before = Day(8).Play(steady);
  // Three times as much work as eight engines do.
  std::vector<Arrivals> all = steady;
  all.push_back({"audit", "", 2, Milliseconds(120), Milliseconds(600),
                 Milliseconds(5), Milliseconds(1000)});

  SUBCASE("the others keep their objectives") {
    const Results with = Day(8).Play(all);
    for (const char* route : {"query", "short"}) {
      CAPTURE(route);
      CHECK(with.at(route).InObjective() >=
            0.95 * before.at(route).InObjective());
    }
  }
  SUBCASE("also if the crowd is of the most urgent class") {
    all.back().priority = 0;
    all.at(0).priority = 2;
    all.at(1).priority = 2;
    const Results with = Day(8).Play(all);
    for (const char* route : {"query", "short"}) {
      CAPTURE(route);
      CHECK(with.at(route).InObjective() >=
            0.95 * before.at(route).InObjective());
    }
  }
  SUBCASE("no engine idles: what is served is what they can do") {
    const Results with = Day(8).Play(all);
    const Result& crowd = with.at("audit");
    // Seven of eight engines' time is left for the crowd's nine seconds.
    CHECK(crowd.served >= 0.95 * 9000 * (8 - 1.25 - 1) / 120);
    CHECK(crowd.served + crowd.refused == crowd.asked);
  }
}

TEST_CASE("one account at ten times its usual beside twenty small ones") {
  std::vector<Arrivals> all = {{"query", "large", 1, Milliseconds(100),
                                Milliseconds(500), Milliseconds(5)}};
  for (int i = 0; i < 20; ++i) {
    all.push_back({"query", "small" + std::to_string(i), 1, Milliseconds(100),
                   Milliseconds(500), Milliseconds(500), Milliseconds(25 * i)});
  }
  const Results results = Day(8).Play(all);
  Result sum;
  for (const auto& [name, result] : results) {
    sum.asked += result.asked;
    sum.served += result.served;
  }

  SUBCASE("every small account is served at least a quarter as often as all") {
    for (const auto& [name, result] : results) {
      CAPTURE(name);
      CHECK(result.Served() >= sum.Served() / 4);
    }
  }
  SUBCASE("a small account has what it asks for, as it is below its share") {
    for (int i = 0; i < 20; ++i) {
      CHECK(results.at("querysmall" + std::to_string(i)).InObjective() >= 0.95);
    }
  }
  SUBCASE("the large account uses the room that is left") {
    CHECK(sum.served >= 0.95 * 10000 * 8 / 100);
  }
}

TEST_CASE("long prompts in a crowd don't starve") {
  // Every tenth prompt takes longer than the objective by itself.
  const Results results = Day(8).Play(
      {{"audit", "", 2, Milliseconds(120), Milliseconds(600), Milliseconds(10)},
       {"audit", "long", 2, Milliseconds(700), Milliseconds(600),
        Milliseconds(90)}});
  const Result& usual = results.at("audit");
  const Result& longest = results.at("auditlong");
  const double all = static_cast<double>(usual.served + longest.served) /
                     static_cast<double>(usual.asked + longest.asked);

  CHECK(longest.Served() >= all / 2);
}

TEST_CASE("all callers return after an outage") {
  // A second's worth of requests comes at once, then the usual load.
  const Results results =
      Day(8).Play({{"query", "", 1, Milliseconds(100), Milliseconds(500),
                    Milliseconds(5), Milliseconds(0), Milliseconds(300)},
                   {"query", "new", 1, Milliseconds(100), Milliseconds(500),
                    Milliseconds(25), Milliseconds(1500)}});

  SUBCASE("new requests meet their objective") {
    CHECK(results.at("querynew").InObjective() >= 0.95);
  }
  SUBCASE("all that returned are served, as their deadlines allow it") {
    CHECK(results.at("query").Served() == 1);
  }
}

TEST_CASE("a request that can't meet its deadline") {
  const Instant now = Instant() + std::chrono::seconds(100);
  RoomAdmission admission;
  RoomRequest request;
  request.route = {"query"};
  request.arrived = now;
  request.objective = Milliseconds(500);
  request.deadline = now + Milliseconds(3000);

  SUBCASE("is refused at its arrival") {
    const RoomDecision decision =
        admission.Decide(request, {Milliseconds(2500), Milliseconds(0)}, now);
    CHECK(std::holds_alternative<RefuseForRoom>(decision));
  }
  SUBCASE("is told another time than the others") {
    const RoomOffer offer = {Milliseconds(2500), Milliseconds(0)};
    const auto first =
        std::get<RefuseForRoom>(admission.Decide(request, offer, now));
    const auto second =
        std::get<RefuseForRoom>(admission.Decide(request, offer, now));
    CHECK(first != second);
    CHECK(second.retry_after <= Milliseconds(1000));
  }
  SUBCASE("goes first within its class when it comes back") {
    const RoomOffer busy = {Milliseconds(700), Milliseconds(600)};
    CHECK(std::holds_alternative<WaitForRoom>(
        admission.Decide(request, busy, now)));
    const auto first = admission.Add(request, busy, now);
    RoomRequest returned = request;
    returned.deadline = now + Milliseconds(2500);
    admission.Decide(returned, busy, now);
    const auto second = admission.Add(returned, busy, now);
    CHECK(admission.InOrder(now) ==
          std::vector<RoomAdmission::Ticket>{second, first});
  }
}

}  // namespace carawayvalve::core
