// Decides the load that storing puts on the platform, however many processes
// there are and however the store answers, and what is lost with all of them.
#include "carawayvalve/core/recent_state_schedule.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace carawayvalve::core {

using base::Duration;
using base::HostId;
using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kDuty[] = "duties";
constexpr Milliseconds kTick(50);
const Instant kStart = Instant() + seconds(100);
const RecentStateSchedule::Settings kSettings;
// The calls a second that docs/design/stream_origins.md states.
constexpr size_t kMaxCallsPerSecond = 5;

// Processes that tell each other origins without losing any.
struct Fleet {
  explicit Fleet(int size) {
    for (int i = 0; i < size; ++i) {
      this->hosts.push_back({"gateway-" + std::to_string(i)});
      this->schedules.emplace_back(kSettings, kDuty, this->hosts.back(),
                                   this->now);
    }
    this->counts.resize(this->schedules.size());
  }

  // Sets whom each hears. Two groups if `cut` isn't 0.
  void Hear(int cut) {
    const auto border = this->hosts.begin() + cut;
    const std::vector<HostId> first(this->hosts.begin(), border);
    const std::vector<HostId> second(border, this->hosts.end());
    for (size_t i = 0; i < this->schedules.size(); ++i) {
      this->schedules[i].SetLive(i < first.size() ? first : second);
    }
  }

  void NoteOrigin(size_t at) {
    const std::string id = "r" + std::to_string(this->next_request++);
    this->begun[id] = this->now;
    this->schedules[at].NoteOrigin({{id}, "v1", {}, "c-" + id}, this->now);
  }

  std::optional<StoreRecentState> Step(size_t at) {
    return this->schedules[at].Step(
        {this->counts[at],
         0,
         {},
         {0, 1},
         this->now - kStart + seconds(1'700'000'000)},
        this->now);
  }

  // Passes the origins on and lets each write; `answer` tells whether the store
  // answers a call.
  template <typename Answer>
  void Tick(const Answer& answer) {
    this->now += kTick;
    for (size_t i = 0; i < this->schedules.size(); ++i) {
      for (const StreamOrigin& told :
           this->schedules[i].TakeForWriter(this->now)) {
        const auto writer = std::find(this->hosts.begin(), this->hosts.end(),
                                      this->schedules[i].writer()) -
                            this->hosts.begin();
        this->schedules[static_cast<size_t>(writer)].NoteOrigin(told,
                                                                this->now);
      }
    }
    for (size_t i = 0; i < this->schedules.size(); ++i) {
      if (const auto action = this->Step(i)) {
        this->calls.push_back(this->now);
        if (answer()) {
          this->Store(*action);
          this->schedules[i].NoteStored(action->call);
        } else {
          this->schedules[i].NoteFailed(action->call);
        }
      }
    }
  }

  void Store(const StoreRecentState& action) {
    this->objects[action.slot] = action.state;
    for (const StreamOrigin& origin : action.state.origins) {
      ++this->times_stored[origin.first.value];
      this->stored_after.push_back(this->now - this->begun[origin.first.value]);
    }
  }

  size_t CallsWithin(Duration time) const {
    size_t most = 0;
    for (auto from = this->calls.begin(); from != this->calls.end(); ++from) {
      const auto until =
          std::lower_bound(from, this->calls.end(), *from + time);
      most = std::max(most, static_cast<size_t>(until - from));
    }
    return most;
  }

  Instant now = kStart;
  std::vector<HostId> hosts;
  std::vector<RecentStateSchedule> schedules;
  std::vector<WindowCounts> counts;
  std::map<int64_t, RecentState> objects;
  std::map<std::string, Instant> begun;
  std::map<std::string, int> times_stored;
  std::vector<Duration> stored_after;
  std::vector<Instant> calls;
  int next_request = 0;
};

const auto kAnswers = [] { return true; };

}  // namespace

TEST_CASE("one process stores what is needed after the loss of all") {
  Fleet fleet(1);
  fleet.Hear(0);
  fleet.now += kSettings.settle_time;
  CHECK_FALSE(fleet.Step(0).has_value());
  fleet.NoteOrigin(0);
  const auto first = fleet.Step(0);
  REQUIRE(first.has_value());
  CHECK(first->state.origins.size() == 1);

  SUBCASE("one call at a time, though the store is slow") {
    fleet.NoteOrigin(0);
    fleet.now += seconds(3);
    CHECK_FALSE(fleet.Step(0).has_value());
    fleet.schedules[0].NoteStored(first->call);
    CHECK(fleet.Step(0).has_value());
  }
  SUBCASE("again after a failure, later each time") {
    fleet.schedules[0].NoteFailed(first->call);
    fleet.now += kSettings.interval;
    CHECK_FALSE(fleet.Step(0).has_value());
    fleet.now += kSettings.interval;
    const auto again = fleet.Step(0);
    REQUIRE(again.has_value());
    CHECK(again->state.origins.size() == 1);
    CHECK(again->slot != first->slot);
  }
  SUBCASE("counts, half as often") {
    fleet.schedules[0].NoteStored(first->call);
    fleet.counts[0].Count({"boot"}, 7, {"north"});
    fleet.now += kSettings.interval;
    CHECK_FALSE(fleet.Step(0).has_value());
    fleet.now += kSettings.interval;
    const auto second = fleet.Step(0);
    REQUIRE(second.has_value());
    CHECK(second->state.counts ==
          std::vector<WindowCountsPart>{{7, {"boot"}, {{{"north"}, 1}}}});

    SUBCASE("and only those that have changed") {
      fleet.schedules[0].NoteStored(second->call);
      fleet.now += seconds(1);
      CHECK_FALSE(fleet.Step(0).has_value());
      fleet.counts[0].Count({"boot"}, 7, {"south"});
      CHECK(fleet.Step(0)->state.counts ==
            std::vector<WindowCountsPart>{{7, {"boot"}, {{{"south"}, 1}}}});
    }
  }
  SUBCASE("never over an object that it has just written") {
    fleet.schedules[0].NoteStored(first->call);
    fleet.NoteOrigin(0);
    fleet.now += kSettings.interval;
    // The time of day has been set back.
    const auto second = fleet.schedules[0].Step(
        {fleet.counts[0],
         0,
         {},
         {0, 1},
         kSettings.settle_time + seconds(1'700'000'000)},
        fleet.now);
    CHECK_FALSE(second.has_value());
  }
}

TEST_CASE("storing puts little load on the store") {
  CHECK(rc::check("with any number of processes", [] {
    Fleet fleet(*rc::gen::inRange(1, 60));
    const auto size = static_cast<int>(fleet.hosts.size());
    fleet.Hear(0);
    const int ticks = *rc::gen::inRange(40, 120);
    for (int tick = 0; tick < ticks; ++tick) {
      const int streams = *rc::gen::inRange(0, 5);
      for (int i = 0; i < streams; ++i) {
        fleet.NoteOrigin(static_cast<size_t>(*rc::gen::inRange(0, size)));
      }
      fleet.counts[0].Count({"boot"}, 7, {"north"});
      fleet.Tick(kAnswers);
    }
    RC_ASSERT(fleet.CallsWithin(seconds(1)) <= kMaxCallsPerSecond);
  }));
  CHECK(rc::check("nor if it fails, or answers nothing for a while", [] {
    Fleet fleet(*rc::gen::inRange(1, 20));
    fleet.Hear(0);
    const int failing = *rc::gen::inRange(0, 10);
    for (int tick = 0; tick < 100; ++tick) {
      fleet.NoteOrigin(0);
      fleet.Tick([&] { return *rc::gen::inRange(0, 10) >= failing; });
    }
    RC_ASSERT(fleet.CallsWithin(seconds(1)) <= kMaxCallsPerSecond);
    for (int tick = 0; tick < 40; ++tick) {
      fleet.Tick(kAnswers);
    }
    for (const auto& [id, begun] : fleet.begun) {
      RC_ASSERT(fleet.times_stored[id] == 1);
    }
  }));
  CHECK(rc::check("nor after a cut, when each side has a writer", [] {
    const int size = *rc::gen::inRange(2, 40);
    Fleet fleet(size);
    fleet.Hear(0);
    const int cut = *rc::gen::inRange(1, size);
    std::vector<Instant> changes;
    for (int tick = 0; tick < 150; ++tick) {
      if (tick == 50 || tick == 100) {
        fleet.Hear(tick == 50 ? cut : 0);
        changes.push_back(fleet.now);
      }
      fleet.NoteOrigin(static_cast<size_t>(*rc::gen::inRange(0, size)));
      fleet.Tick(kAnswers);
    }
    RC_ASSERT(fleet.CallsWithin(seconds(1)) <= 2 * kMaxCallsPerSecond);
    // The writer before may have been lost with what it was told last.
    for (const auto& [id, times] : fleet.times_stored) {
      const Instant begun = fleet.begun[id];
      const bool told_to_two =
          std::any_of(changes.begin(), changes.end(), [&](Instant change) {
            return begun < change && change - begun < kSettings.tells * kTick;
          });
      RC_ASSERT(times == 1 || (told_to_two && times == 2));
    }
  }));
}

TEST_CASE("what is stored suffices for successors") {
  CHECK(rc::check("all streams but those of the last moment", [] {
    Fleet fleet(*rc::gen::inRange(1, 30));
    const auto size = static_cast<int>(fleet.hosts.size());
    fleet.Hear(0);
    // Less than the time until an object is written again.
    const int ticks = *rc::gen::inRange(30, 200);
    for (int tick = 0; tick < ticks; ++tick) {
      if (*rc::gen::inRange(0, 3) == 0) {
        fleet.NoteOrigin(static_cast<size_t>(*rc::gen::inRange(0, size)));
      }
      fleet.Tick(kAnswers);
    }
    std::set<std::string> found;
    for (const auto& [slot, state] : fleet.objects) {
      for (const StreamOrigin& origin : state.origins) {
        found.insert(origin.first.value);
      }
    }
    for (const auto& [id, begun] : fleet.begun) {
      const bool is_last = fleet.now - begun < Milliseconds(250);
      const bool is_new_fleet =
          fleet.now < kStart + kSettings.settle_time + kTick;
      RC_ASSERT(is_last || is_new_fleet || found.contains(id));
    }
  }));
  CHECK(rc::check("all counts, in objects of bounded size", [] {
    RecentStateSchedule::Settings settings;
    settings.max_bytes = 2000;
    RecentStateSchedule schedule(settings, kDuty, {"self"}, kStart);
    WindowCounts counted;
    WindowCounts stored;
    Instant now = kStart + settings.settle_time;
    const int accounts = *rc::gen::inRange(1, 60);
    bool store_fails = true;
    const auto write = [&] {
      now += settings.counts_interval;
      const auto action = schedule.Step(
          {counted, 6, {}, {0, 1}, now - kStart + seconds(1'700'000'000)}, now);
      if (!action.has_value()) {
        return false;
      }
      size_t texts = 0;
      for (const WindowCountsPart& part : action->state.counts) {
        stored.Merge(part);
        for (const auto& [account, count] : part.counts) {
          texts += account.value.size();
        }
      }
      RC_ASSERT(texts < settings.max_bytes);
      if (store_fails && *rc::gen::inRange(0, 3) == 0) {
        schedule.NoteFailed(action->call);
      } else {
        schedule.NoteStored(action->call);
      }
      return true;
    };
    for (int i = 0; i < 60; ++i) {
      counted.Count(
          {"boot-" + std::to_string(*rc::gen::inRange(0, 5))},
          *rc::gen::inRange(6, 8),
          {"account-" + std::to_string(*rc::gen::inRange(0, accounts))});
      write();
    }
    store_fails = false;
    int calls = 0;
    now += seconds(2);
    while (write()) {
      now += seconds(2);
      RC_ASSERT(++calls < 200);
    }
    RC_ASSERT(stored.Sum(6) == counted.Sum(6));
    RC_ASSERT(stored.Sum(7) == counted.Sum(7));
  }));
}

}  // namespace carawayvalve::core
