// proof 3: Orders from a process that has lost its authority have no effect.
// proof 8: No window is reported by two holders.

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/core/lease.h"

namespace carawayvalve::core {

using base::BootId;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Half a term: a lease expires after two steps.
constexpr milliseconds kStep(1500);
constexpr int kMaxSteps = 8;
constexpr size_t kProcesses = 2;

LeaseOptions Options() {
  LeaseOptions options;
  options.term = seconds(3);
  options.renew_interval = seconds(1);
  options.poll_interval = seconds(1);
  options.retry_interval = milliseconds(250);
  options.call_timeout = seconds(2);
  return options;
}

// One reachable state of two processes and a store that loses answers and
// applies writes late.
struct SystemState {
  SystemState() {
    for (size_t i = 0; i < kProcesses; ++i) {
      this->Restart(i);
    }
  }

  void Restart(size_t i) {
    const std::string name =
        std::to_string(i) + "/" + std::to_string(++this->restarts);
    this->leases.insert_or_assign(i, Lease(Options(), BootId{name}));
    this->calls.erase(i);
    this->names[i] = name;
  }

  void Step(size_t i, const LeaseEvent& event) {
    for (const LeaseAction& action :
         this->leases.at(i).Step(event, this->now)) {
      this->calls.insert_or_assign(i, action);
    }
  }

  void PassTime() {
    this->now += kStep;
    for (size_t i = 0; i < kProcesses; ++i) {
      this->Step(i, LeaseTick{seconds(0)});
    }
  }

  // Returns whether the write's version condition held.
  bool Apply(const WriteLease& write) {
    if (write.if_version != this->version) {
      return false;
    }
    this->object = write.record;
    ++this->version;
    return true;
  }

  enum class Answer { kGiven, kLost, kLate };

  void EndCall(size_t i, Answer answer) {
    const LeaseAction action = this->calls.at(i);
    this->calls.erase(i);
    if (const auto* read = std::get_if<ReadLease>(&action)) {
      if (answer == Answer::kGiven) {
        this->Step(i, LeaseReadAnswer{read->call, this->object, this->version,
                                      this->era});
      } else {
        this->Step(i, LeaseStoreError{read->call});
      }
      return;
    }
    const auto& write = std::get<WriteLease>(action);
    if (answer == Answer::kLate) {
      this->late_writes.push_back(write);
      this->Step(i, LeaseWriteUncertain{write.call});
      return;
    }
    const bool done = this->Apply(write);
    if (answer == Answer::kLost) {
      this->Step(i, LeaseWriteUncertain{write.call});
    } else if (done) {
      this->Step(i, LeaseWriteDone{write.call, this->version, this->era});
    } else {
      this->Step(i, LeaseWriteConflict{write.call, this->era});
    }
  }

  // Comes back from the copy. Versions are given out again.
  void Drill() {
    this->object = this->copied_object;
    this->version = this->copied_version;
    ++this->era;
    --this->drills_left;
  }

  // Returns whether at most one process holds the lease, under the newest
  // epoch, and no epoch was granted to two processes.
  bool InvariantHolds() {
    int holders = 0;
    for (size_t i = 0; i < kProcesses; ++i) {
      const auto grant = this->leases.at(i).Grant(this->now);
      if (!grant.has_value()) {
        continue;
      }
      ++holders;
      const auto& name = this->names[i];
      if (this->epochs.emplace(grant->epoch, name).first->second != name ||
          this->epochs.rbegin()->first != grant->epoch) {
        return false;
      }
    }
    return holders <= 1;
  }

  Instant now{std::chrono::hours(1)};
  std::map<size_t, Lease> leases;
  std::map<size_t, std::string> names;
  std::map<size_t, LeaseAction> calls;
  // Writes that timed out and may still take effect.
  std::vector<WriteLease> late_writes;
  std::optional<LeaseRecord> object;
  int64_t version = 0;
  // The store's era, 0 while it doesn't say it.
  int64_t era = 0;
  std::optional<LeaseRecord> copied_object;
  int64_t copied_version = 0;
  int drills_left = 0;
  std::map<int64_t, std::string> epochs;
  int restarts = 0;
};

// Explores every sequence of at most `steps_left` steps. Returns the number of
// states that violate the invariant.
int64_t Explore(const SystemState& from, int steps_left, int64_t& state_count) {
  int64_t violations = 0;
  const auto explore_after = [&](auto change) {
    SystemState next = from;
    change(next);
    ++state_count;
    if (!next.InvariantHolds()) {
      ++violations;
    } else if (steps_left > 1) {
      violations += Explore(next, steps_left - 1, state_count);
    }
  };
  explore_after([](SystemState& state) { state.PassTime(); });
  for (const auto& [i, action] : from.calls) {
    const bool writes = std::holds_alternative<WriteLease>(action);
    for (const SystemState::Answer answer :
         {SystemState::Answer::kGiven, SystemState::Answer::kLost,
          SystemState::Answer::kLate}) {
      if (writes || answer != SystemState::Answer::kLate) {
        explore_after(
            [i = i, answer](SystemState& state) { state.EndCall(i, answer); });
      }
    }
  }
  for (size_t i = 0; i < from.late_writes.size(); ++i) {
    explore_after([i](SystemState& state) {
      const WriteLease write = state.late_writes[i];
      state.late_writes.erase(state.late_writes.begin() +
                              static_cast<int64_t>(i));
      state.Apply(write);
    });
  }
  for (size_t i = 0; i < kProcesses; ++i) {
    explore_after([i](SystemState& state) { state.Restart(i); });
  }
  if (from.drills_left > 0) {
    explore_after([](SystemState& state) { state.Drill(); });
  }
  return violations;
}

}  // namespace

// Guards against two holders with one fencing token after the store came back
// from an older copy.
TEST_CASE("no drill of the store gives the lease two holders") {
  SystemState state;
  state.era = 1;
  state.drills_left = 1;
  int64_t state_count = 0;
  const auto acquire = [&](size_t i) {
    for (int step = 0; step < kMaxSteps && !state.leases.at(i).Holds(state.now);
         ++step) {
      state.PassTime();
      while (state.calls.contains(i)) {
        state.EndCall(i, SystemState::Answer::kGiven);
      }
    }
    REQUIRE(state.leases.at(i).Holds(state.now));
  };

  SUBCASE("that loses the first holder") {
    acquire(0);
    CHECK(Explore(state, kMaxSteps - 1, state_count) == 0);
  }
  SUBCASE("that brings back the holder before the present one") {
    acquire(0);
    state.copied_object = state.object;
    state.copied_version = state.version;
    // The first one stands still meanwhile.
    while (state.calls.contains(0) || state.leases.at(0).Holds(state.now)) {
      state.PassTime();
      if (state.calls.contains(0)) {
        state.EndCall(0, SystemState::Answer::kLost);
      }
    }
    acquire(1);
    CHECK(Explore(state, kMaxSteps - 1, state_count) == 0);
  }
  SUBCASE("that a late renewal of the holder outlives") {
    acquire(0);
    state.copied_object = state.object;
    state.copied_version = state.version;
    state.PassTime();
    REQUIRE(state.calls.contains(0));
    state.EndCall(0, SystemState::Answer::kLate);
    state.Drill();
    CHECK(Explore(state, kMaxSteps, state_count) == 0);
  }
  MESSAGE(state_count, " states");
}

TEST_CASE("no sequence of a few steps gives the lease two holders") {
  SystemState state;
  int64_t state_count = 0;

  SUBCASE("from the initial state") {
    CHECK(Explore(state, kMaxSteps, state_count) == 0);
  }
  SUBCASE("while one process holds it and the other polls") {
    state.PassTime();
    state.EndCall(0, SystemState::Answer::kGiven);
    state.EndCall(0, SystemState::Answer::kGiven);
    REQUIRE(state.leases.at(0).Holds(state.now));
    state.EndCall(1, SystemState::Answer::kGiven);
    CHECK(Explore(state, kMaxSteps, state_count) == 0);
  }
  SUBCASE("while a timed-out renewal may still take effect") {
    state.PassTime();
    state.EndCall(0, SystemState::Answer::kGiven);
    state.EndCall(0, SystemState::Answer::kGiven);
    state.EndCall(1, SystemState::Answer::kGiven);
    state.PassTime();
    REQUIRE(state.calls.contains(0));
    state.EndCall(0, SystemState::Answer::kLate);
    CHECK(Explore(state, kMaxSteps, state_count) == 0);
  }
  MESSAGE(state_count, " states");
}

}  // namespace carawayvalve::core
