// proof 6: A withdrawn key stops working within seconds.

#include "carawayvalve/core/staleness_tracker.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

namespace carawayvalve::core {

namespace {

using base::Duration;
using base::Instant;
using std::chrono::seconds;

constexpr Duration kLimit = seconds(10);
const Instant kStart = Instant() + std::chrono::hours(1);

// A request of one process to the store or to another process.
struct Exchange {
  size_t requester = 0;
  size_t answerer = 0;  // kStore for the store
  Instant sent_at;      // by the requester's clock
  bool served = false;
  int64_t generation = 0;
  std::optional<Duration> store_age;
};

constexpr size_t kProcesses = 3;
constexpr size_t kStore = kProcesses;

// Simulates processes with unsynchronised clocks that copy generations from the
// store and from each other.
class Network {
 public:
  void Step(uint8_t kind, uint8_t number) {
    this->passed += std::chrono::milliseconds(50 * number);
    const size_t process = number % kProcesses;
    switch (kind % 5) {
      case 0:
        this->changes.push_back(this->passed);
        break;
      case 1:
      case 2: {
        const size_t other = (process + 1 + number / 8U % kProcesses);
        this->exchanges.push_back({process,
                                   other % (kProcesses + 1),
                                   this->LocalTime(process),
                                   false,
                                   0,
                                   {}});
        break;
      }
      default:
        this->Advance(number);
    }
    for (size_t i = 0; i < kProcesses; ++i) {
      this->Check(i);
    }
  }

 private:
  Instant LocalTime(size_t process) const {
    return kStart + this->passed + seconds(1000 * process);
  }

  // Advances one exchange: the answerer serves it, or the requester receives
  // the answer if it was served before.
  void Advance(uint8_t number) {
    if (this->exchanges.empty()) {
      return;
    }
    const auto exchange = this->exchanges.begin() +
                          static_cast<int>(number % this->exchanges.size());
    if (!exchange->served) {
      exchange->served = true;
      this->Serve(*exchange);
      return;
    }
    const size_t requester = exchange->requester;
    // A status names a generation without containing its configuration.
    const bool status_only = exchange->answerer != kStore && number % 2 == 0;
    if (!status_only) {
      this->generations[requester] =
          std::max(this->generations[requester], exchange->generation);
    }
    if (exchange->answerer == kStore) {
      this->trackers[requester].NoteStoreAnswer(exchange->sent_at);
    } else {
      this->trackers[requester].NotePeerAnswer(
          {std::to_string(exchange->answerer)}, exchange->sent_at,
          exchange->store_age, exchange->generation);
    }
    this->exchanges.erase(exchange);
  }

  void Serve(Exchange& exchange) {
    if (exchange.answerer == kStore) {
      exchange.generation = static_cast<int64_t>(this->changes.size());
      return;
    }
    const size_t answerer = exchange.answerer;
    exchange.generation = this->generations[answerer];
    const auto fresh =
        this->trackers[answerer].ConfirmedAt(this->generations[answerer]);
    if (fresh) {
      exchange.store_age = this->LocalTime(answerer) - *fresh;
    }
  }

  void Check(size_t process) {
    const FreshnessState freshness = this->trackers[process].Evaluate(
        this->LocalTime(process), kLimit, {{"0"}, {"1"}, {"2"}},
        this->generations[process]);
    if (freshness != FreshnessState::kFresh) {
      return;
    }
    int64_t required = 0;
    for (const Duration change : this->changes) {
      required += this->passed - change > kLimit ? 1 : 0;
    }
    RC_ASSERT(this->generations[process] >= required);
  }

  Duration passed{};
  // When each generation was accepted, by the first process's clock.
  std::vector<Duration> changes;
  std::array<StalenessTracker, kProcesses> trackers;
  std::array<int64_t, kProcesses> generations{};
  std::vector<Exchange> exchanges;
};

}  // namespace

TEST_CASE("StalenessTracker") {
  const std::vector<base::HostId> peers = {{"h1"}, {"h2"}, {"h3"}};
  const Instant later = kStart + seconds(11);
  StalenessTracker tracker;
  tracker.NoteStoreAnswer(kStart);
  const auto evaluate = [&](Instant now) {
    return tracker.Evaluate(now, kLimit, peers, 5);
  };

  SUBCASE("a copy is fresh up to the limit") {
    CHECK(evaluate(kStart + kLimit) == FreshnessState::kFresh);
    CHECK(evaluate(later) == FreshnessState::kCutOff);
  }
  SUBCASE("a peer that reaches the store keeps the copy fresh") {
    tracker.NotePeerAnswer({"h1"}, later, seconds(2), 5);
    CHECK(evaluate(later) == FreshnessState::kFresh);
    CHECK(evaluate(later + seconds(9)) == FreshnessState::kCutOff);

    SUBCASE("but not if the peer has a newer generation") {
      tracker.NotePeerAnswer({"h1"}, later, seconds(2), 6);
      CHECK(evaluate(later) == FreshnessState::kCutOff);
    }
  }
  SUBCASE("a majority of peers without the store is an outage") {
    tracker.NotePeerAnswer({"h1"}, later, seconds(12), 5);
    CHECK(evaluate(later) == FreshnessState::kCutOff);
    tracker.NotePeerAnswer({"h2"}, later, std::nullopt, 5);
    CHECK(evaluate(later) == FreshnessState::kPlatformOutage);
    CHECK(evaluate(later + seconds(11)) == FreshnessState::kCutOff);

    SUBCASE("unless another peer reaches it and has a newer generation") {
      tracker.NotePeerAnswer({"h3"}, later, seconds(0), 6);
      CHECK(evaluate(later) == FreshnessState::kCutOff);
    }
  }
  SUBCASE("peers that left the host list don't count") {
    tracker.NotePeerAnswer({"h8"}, later, seconds(12), 5);
    tracker.NotePeerAnswer({"h9"}, later, seconds(12), 5);
    CHECK(evaluate(later) == FreshnessState::kCutOff);
    tracker.Retain({{"h9"}});
    CHECK(tracker.Evaluate(later, kLimit, {{"h9"}}, 5) ==
          FreshnessState::kPlatformOutage);
  }
  SUBCASE("a process without peers can't detect an outage") {
    CHECK(tracker.Evaluate(later, kLimit, {}, 5) == FreshnessState::kCutOff);
  }
}

TEST_CASE("A fresh copy lacks nothing older than the limit") {
  CHECK(rc::check("despite delays, reordering and unequal clocks",
                  [](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
                    Network network;
                    for (const auto& [kind, number] : steps) {
                      network.Step(kind, number);
                    }
                  }));
}

}  // namespace carawayvalve::core
