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

// Half a term: a lease lapses in two steps.
constexpr milliseconds kStep(1500);
constexpr int kDepth = 8;
constexpr size_t kProcesses = 2;

LeaseOptions Terms() {
  LeaseOptions terms;
  terms.term = seconds(3);
  terms.renew_interval = seconds(1);
  terms.poll_interval = seconds(1);
  terms.retry_interval = milliseconds(250);
  terms.call_timeout = seconds(2);
  return terms;
}

// Two processes and a store that loses answers and carries writes out late, in
// one state of all that can follow from the start.
struct World {
  World() {
    for (size_t i = 0; i < kProcesses; ++i) {
      this->Restart(i);
    }
  }

  void Restart(size_t i) {
    const std::string name =
        std::to_string(i) + "/" + std::to_string(++this->restarts);
    this->leases.insert_or_assign(i, Lease(Terms(), BootId{name}));
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

  // Returns whether the write's condition held.
  bool Apply(const WriteLease& write) {
    if (write.if_version != this->version) {
      return false;
    }
    this->object = write.record;
    ++this->version;
    return true;
  }

  enum class Answer { kGiven, kLost, kLate };

  void End(size_t i, Answer answer) {
    const LeaseAction action = this->calls.at(i);
    this->calls.erase(i);
    if (const auto* read = std::get_if<ReadLease>(&action)) {
      if (answer == Answer::kGiven) {
        this->Step(i, LeaseReadAnswer{read->call, this->object, this->version});
      } else {
        this->Step(i, LeaseStoreError{read->call});
      }
      return;
    }
    const auto& write = std::get<WriteLease>(action);
    if (answer == Answer::kLate) {
      this->late.push_back(write);
      this->Step(i, LeaseWriteLost{write.call});
      return;
    }
    const bool done = this->Apply(write);
    if (answer == Answer::kLost) {
      this->Step(i, LeaseWriteLost{write.call});
    } else if (done) {
      this->Step(i, LeaseWriteDone{write.call, this->version});
    } else {
      this->Step(i, LeaseWriteRefused{write.call});
    }
  }

  // Whether one process at most holds the lease, by the newest epoch, which no
  // other process has had.
  bool Sound() {
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
  // Writes that are still under way though they were given up.
  std::vector<WriteLease> late;
  std::optional<LeaseRecord> object;
  int64_t version = 0;
  std::map<int64_t, std::string> epochs;
  int restarts = 0;
};

// Follows all that can happen within so many steps. Returns the number of
// states that aren't sound.
int64_t Explore(const World& from, int depth, int64_t& states) {
  int64_t unsound = 0;
  const auto follow = [&](auto change) {
    World next = from;
    change(next);
    ++states;
    if (!next.Sound()) {
      ++unsound;
    } else if (depth > 1) {
      unsound += Explore(next, depth - 1, states);
    }
  };
  follow([](World& world) { world.PassTime(); });
  for (const auto& [i, action] : from.calls) {
    const bool writes = std::holds_alternative<WriteLease>(action);
    for (const World::Answer answer :
         {World::Answer::kGiven, World::Answer::kLost, World::Answer::kLate}) {
      if (writes || answer != World::Answer::kLate) {
        follow([i = i, answer](World& world) { world.End(i, answer); });
      }
    }
  }
  for (size_t i = 0; i < from.late.size(); ++i) {
    follow([i](World& world) {
      const WriteLease write = world.late[i];
      world.late.erase(world.late.begin() + static_cast<int64_t>(i));
      world.Apply(write);
    });
  }
  for (size_t i = 0; i < kProcesses; ++i) {
    follow([i](World& world) { world.Restart(i); });
  }
  return unsound;
}

}  // namespace

TEST_CASE("in every course of a few steps the lease has one holder") {
  World world;
  int64_t states = 0;

  SUBCASE("from the start") {
    CHECK(Explore(world, kDepth, states) == 0);
  }
  SUBCASE("while one holds it and the other one watches") {
    world.PassTime();
    world.End(0, World::Answer::kGiven);
    world.End(0, World::Answer::kGiven);
    REQUIRE(world.leases.at(0).Holds(world.now));
    world.End(1, World::Answer::kGiven);
    CHECK(Explore(world, kDepth, states) == 0);
  }
  SUBCASE("while a renewal is under way that was given up") {
    world.PassTime();
    world.End(0, World::Answer::kGiven);
    world.End(0, World::Answer::kGiven);
    world.End(1, World::Answer::kGiven);
    world.PassTime();
    REQUIRE(world.calls.contains(0));
    world.End(0, World::Answer::kLate);
    CHECK(Explore(world, kDepth, states) == 0);
  }
  MESSAGE(states, " states");
}

}  // namespace carawayvalve::core
