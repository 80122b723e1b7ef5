// Guards against a process that stands still or is cut off while a software
// version joins, and lets a stream of that version go on at the one it knows.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "carawayvalve/core/backend_directory.h"
#include "carawayvalve/core/origin_search.h"

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;

namespace {

const base::ServiceId kService{"models"};
const Instant kStart = Instant() + std::chrono::seconds(1000);
constexpr Milliseconds kTick(10);
// Callers take streams up within this time after they have begun.
constexpr Milliseconds kHorizon(400);
constexpr int kTicks = 200;
constexpr int kMaxDelay = 12;

// A change of the store; a removal has no version.
struct StoreChange {
  std::string id;
  std::string version;
};

// An answer of the store that is on its way to the process.
struct Answer {
  Instant arrives;
  Instant sent_at;
  // The number of changes until then.
  size_t changes = 0;
};

struct TakenUp {
  std::string version;
  OriginSearch search;
};

// One process, a store that others change, and streams that others begin.
class World {
 public:
  World() {
    this->Change("e1", "v1");
    this->Apply(this->history.size());
    this->known_to = this->now;
    for (Milliseconds time(0); time <= kHorizon; time += kTick) {
      this->now += kTick;
      this->directory.Expire(this->now);
    }
    this->begun.emplace_back(this->now, "v1");
  }

  // Lets time pass, while the process may stand still.
  void Pass(bool stands_still) {
    this->now += kTick;
    this->ChangeStore();
    for (const auto& [id, version] : this->registered) {
      this->begun.emplace_back(this->now, version);
    }
    while (this->begun.front().first < this->now - kHorizon) {
      this->begun.pop_front();
    }
    if (!stands_still) {
      this->Run();
    }
  }

  // Another process has begun a stream, which its caller takes up here.
  void TakeUp() {
    const std::string version =
        this->begun[*rc::gen::inRange<size_t>(0, this->begun.size())].second;
    this->streams.push_back(
        {version, OriginSearch({}, *rc::gen::arbitrary<bool>(),
                               *rc::gen::arbitrary<bool>(),
                               *rc::gen::arbitrary<bool>(), this->now)});
  }

  bool is_cut = false;
  int64_t went_on = 0;

 private:
  void Change(const std::string& id, const std::string& version) {
    if (version.empty()) {
      this->registered.erase(id);
    } else {
      this->registered[id] = version;
    }
    this->history.push_back({id, version});
  }

  void ChangeStore() {
    const int drawn = *rc::gen::inRange(0, 60);
    if (drawn > 1) {
      return;
    }
    const std::string id = "e" + std::to_string(*rc::gen::inRange(1, 4));
    this->Change(id, drawn == 0 || id == "e1"
                         ? "v" + std::to_string(*rc::gen::inRange(1, 3))
                         : "");
  }

  // Applies the store's changes up to this number.
  void Apply(size_t changes) {
    for (; this->applied < changes; ++this->applied) {
      const auto& [id, version] = this->history[this->applied];
      BackendEntry entry;
      entry.id = {id};
      entry.service = kService;
      entry.software_version = version;
      if (version.empty()) {
        this->directory.NoteRemoved(entry.id, this->now);
      } else {
        this->directory.NoteEntry(entry);
      }
    }
  }

  void Ask() {
    if (!this->is_cut) {
      this->answers.push_back(
          {this->now + kTick * *rc::gen::inRange(1, kMaxDelay), this->now,
           this->history.size()});
    }
  }

  void Run() {
    if (*rc::gen::inRange(0, 20) == 0) {
      this->Ask();
    }
    for (const Answer& answer : this->answers) {
      if (!this->is_cut && answer.arrives <= this->now) {
        this->Apply(answer.changes);
        this->known_to = std::max(this->known_to, answer.sent_at);
      }
    }
    std::erase_if(this->answers, [&](const Answer& answer) {
      return answer.arrives <= this->now;
    });
    this->directory.Expire(this->now);
    for (TakenUp& stream : this->streams) {
      this->Step(stream);
    }
    std::erase_if(this->streams, [](const TakenUp& stream) {
      return stream.search.verdict().has_value();
    });
  }

  void Step(TakenUp& stream) {
    OriginEvidence evidence;
    evidence.only_version = this->directory.OnlyVersion(
        kService, stream.search.TimeToCover(kHorizon, this->now), this->now);
    evidence.registry_known_to = this->known_to;
    for (const OriginRequest& request :
         stream.search.Step(evidence, this->now)) {
      if (std::holds_alternative<ConfirmRegistry>(request)) {
        this->Ask();
      }
    }
    if (!stream.search.verdict().has_value()) {
      return;
    }
    if (const auto* verdict =
            std::get_if<ContinueAtVersion>(&*stream.search.verdict())) {
      RC_ASSERT(verdict->version == stream.version);
      ++this->went_on;
    }
  }

  Instant now = kStart;
  // The version of each backend server in the store.
  std::map<std::string, std::string> registered;
  std::vector<StoreChange> history;
  size_t applied = 0;
  // When streams of each version could begin, the oldest first.
  std::deque<std::pair<Instant, std::string>> begun;
  BackendDirectory directory{StoreOutage::Settings{}};
  Instant known_to;
  std::vector<Answer> answers;
  std::vector<TakenUp> streams;
};

}  // namespace

TEST_CASE("a process that may be out of step") {
  int64_t went_on = 0;
  CHECK(rc::check("never goes on with a stream at another version", [&] {
    World world;
    int still = 0;
    for (int tick = 0; tick < kTicks; ++tick) {
      if (*rc::gen::inRange(0, 30) == 0) {
        still = *rc::gen::inRange(1, 60);
      }
      if (*rc::gen::inRange(0, 30) == 0) {
        world.is_cut = !world.is_cut;
      }
      if (*rc::gen::inRange(0, 10) == 0) {
        world.TakeUp();
      }
      world.Pass(still > 0);
      still = std::max(still - 1, 0);
    }
    went_on += world.went_on;
  }));
  CHECK(went_on > 0);
}

}  // namespace carawayvalve::core
