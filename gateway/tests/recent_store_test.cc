// Guards against streams joined from two software versions, and usage that is
// lost, when all gateways die at once.
#include "recent_store.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>

#include "carawayvalve/base/process_memory.h"
#include "platform/long_list.h"
#include "platform/store.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

const base::ServiceId kService{"desk"};
constexpr seconds kTakeUpTime(10);
constexpr char kContent[] = "c-1";

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.store.watch_wait = Milliseconds(50);
  return settings;
}

nlohmann::json Server(const std::string& version) {
  return {{"service", kService.value},
          {"addr", "127.0.0.1:1"},
          {"zone", "a"},
          {"version", version},
          {"slots", 4},
          {"state", "up"},
          {"born", 1}};
}

// One run of the only gateway; its successor is another one.
struct Run {
  Run(TestGateway& shared, const std::string& store)
      : state(TestSettings()),
        lookup(shared.loop, state),
        context{shared.loop,
                state,
                shared.journal,
                shared.metrics,
                shared.backends,
                shared.late_requests,
                shared.generator,
                shared.sent_prefixes,
                shared.on_load_changed,
                shared.on_urgent_news,
                lookup,
                shared.account_limits,
                shared.live_requests,
                shared.buffers,
                shared.answers,
                shared.on_store_era},
        objects(shared.loop, base::ParseAddress(store), Milliseconds(1000)),
        feed(context, objects),
        recent(context, objects, feed) {
    // It has been on its own for some time.
    this->state.started -= seconds(10);
    this->state.wall_clock.RecordOwnTime(
        std::chrono::system_clock::now().time_since_epoch(), base::Now());
    this->state.recent_state = core::RecentStateSchedule(
        {}, kDutyName, this->state.settings.host, this->state.started);
    this->lookup.SetRegistryKnownTo(
        [this] { return this->feed.registry().confirmed(); });
    this->lookup.SetConfirmRegistry([this] {
      this->feed.ConfirmRegistry([this] { this->lookup.NoteLearned(); });
    });
    this->lookup.SetReadStored([this](const std::function<void(bool)>& done) {
      this->recent.Read(done);
    });
    this->feed.Start();
    this->recent.Start();
  }

  int64_t Window() const {
    return this->state.wall_clock.At(base::Now()) /
           base::Duration(this->state.settings.duties.usage_window);
  }

  GatewayState state;
  StreamOriginLookup lookup;
  Context context;
  platform::ObjectClient objects;
  StoreFeed feed;
  RecentStore recent;
};

struct Fleet {
  Fleet() {
    this->store.Put("servers", "old", Server("v1"));
    this->store.Put("servers", "new", Server("v2"));
    this->Restart();
  }

  void Restart() {
    this->run.reset();
    this->run.emplace(this->gateway, this->store.address());
    this->Wait(Milliseconds(200));
  }

  void Wait(base::Duration time) {
    this->gateway.RunFor(time);
    this->run->state.directory.Expire(base::Now());
  }

  // Returns the version at which the stream goes on; nothing if it is refused.
  std::optional<std::string> TakeUp(const std::string& first) {
    std::optional<core::OriginVerdict> verdict;
    this->run->lookup.Find(
        {first.empty() ? std::nullopt : std::optional(base::RequestId{first}),
         kContent, kService, kTakeUpTime},
        [&](const core::OriginVerdict& found) { verdict = found; });
    this->Wait(Milliseconds(400));
    REQUIRE(verdict.has_value());
    const auto* known = std::get_if<core::ContinueAtVersion>(&*verdict);
    return known == nullptr ? std::nullopt : std::optional(known->version);
  }

  TestGateway gateway{TestSettings()};
  tests::Store store{gateway.loop};
  std::optional<Run> run;
};

// Returns the value of an object that says that the stream began just now at
// another version.
nlohmann::json StateOf(const std::string& version) {
  const auto now =
      base::ToMilliseconds(std::chrono::system_clock::now().time_since_epoch());
  return {{"format", 1},
          {"written_ms", now},
          {"registry_era", 1},
          {"registry_revision", 1},
          {"versions", nlohmann::json::object()},
          {"streams", {{"r1", version, 0, kContent}}},
          {"counts", nlohmann::json::array()}};
}

// Begins a stream, loses all gateways and takes it up; `first` is empty if the
// caller doesn't name it.
void TakeUpAfterLoss(const std::string& first) {
  Fleet fleet;
  fleet.run->context.NoteStream({{"r1"}, "v1", {}, kContent}, kService,
                                kTakeUpTime);
  fleet.Wait(Milliseconds(500));

  SUBCASE("at the version that began it, beside another") {
    fleet.Restart();
    CHECK(fleet.TakeUp(first) == "v1");
  }
  SUBCASE("which has just left") {
    fleet.store.Remove("servers", "old");
    fleet.Restart();
    CHECK(fleet.TakeUp(first) == "v1");
  }
  SUBCASE("some time later, among objects that aren't ours") {
    fleet.store.Put("carawayvalve-recent", "recent-70", {{"format", 9}});
    fleet.store.Put("carawayvalve-recent", "recent-71",
                    {{"format", 1}, {"streams", "none"}});
    fleet.Restart();
    fleet.Wait(seconds(2));
    CHECK(fleet.TakeUp(first) == "v1");
  }
  SUBCASE("beside an object with an odd name that says otherwise") {
    fleet.store.Put("carawayvalve-recent", "recent-0 #", StateOf("v2"));
    fleet.Restart();
    CHECK(fleet.TakeUp(first) == "v1");
  }
  SUBCASE("but not while the store refuses") {
    fleet.Restart();
    fleet.store.refuses = true;
    CHECK(fleet.TakeUp(first) == std::nullopt);

    SUBCASE("only once it answers") {
      fleet.store.refuses = false;
      fleet.Wait(Milliseconds(500));
      CHECK(fleet.TakeUp(first) == "v1");
    }
  }
}

}  // namespace

TEST_CASE("a stream that its caller names goes on after all were lost") {
  TakeUpAfterLoss("r1");
}

TEST_CASE("a stream known by its content goes on after all were lost") {
  TakeUpAfterLoss("");
}

TEST_CASE("a stream that was never stored doesn't go on") {
  Fleet fleet;
  fleet.Restart();
  CHECK(fleet.TakeUp("r2") == std::nullopt);
}

TEST_CASE("a stream whose id isn't text ends no gateway") {
  Fleet fleet;
  fleet.run->context.NoteStream({{"\xff"}, "v1", {}, kContent}, kService,
                                kTakeUpTime);
  fleet.run->context.NoteStream({{"r1"}, "v2", {}, "c-2"}, kService,
                                kTakeUpTime);
  fleet.Wait(Milliseconds(500));
  fleet.Restart();

  SUBCASE("nor keeps another from going on") {
    CHECK(fleet.TakeUp("r1") == "v2");
  }
  SUBCASE("and is unknown after all were lost") {
    CHECK(fleet.TakeUp("\xff") == std::nullopt);
  }
  SUBCASE("as are the ids that print like it") {
    CHECK(fleet.TakeUp("\xfe") == std::nullopt);
    CHECK(fleet.TakeUp("\xef\xbf\xbd") == std::nullopt);
  }
}

TEST_CASE("the only version of a service is known after all were lost") {
  Fleet fleet;
  fleet.store.Remove("servers", "old");
  fleet.Restart();
  fleet.run->state.directory.version_history() = {};
  fleet.run->state.directory.version_history().NoteVersion(
      kService, "v2", base::Now() - seconds(60));
  fleet.run->state.usage.Count({"boot"}, fleet.run->Window(), {"north"});
  fleet.Wait(Milliseconds(800));

  SUBCASE("so that any of its streams goes on") {
    fleet.Restart();
    CHECK(fleet.TakeUp("r9") == "v2");
  }
  SUBCASE("unless another one has come and gone since") {
    fleet.store.Put("servers", "third", Server("v3"));
    fleet.store.Remove("servers", "third");
    fleet.Restart();
    CHECK(fleet.TakeUp("r9") == std::nullopt);
  }
  SUBCASE("also if the store has lost that") {
    const auto copy = fleet.store.Backup();
    fleet.store.Put("servers", "third", Server("v3"));
    fleet.Wait(Milliseconds(200));
    fleet.run.reset();
    fleet.store.ReturnTo(*copy);
    fleet.Restart();
    CHECK(fleet.TakeUp("r9") == std::nullopt);
  }
  SUBCASE("or may have") {
    fleet.store.Put("servers", "other", Server("v2"));
    fleet.store.Compact();
    fleet.Restart();
    CHECK(fleet.TakeUp("r9") == std::nullopt);
  }
}

TEST_CASE("counts of gateways that are gone are read once for all") {
  Fleet fleet;
  const int64_t window = fleet.run->Window();
  for (int i = 0; i < 3; ++i) {
    fleet.run->state.usage.Count({"boot"}, window, {"north"});
  }
  fleet.Wait(Milliseconds(800));
  fleet.Restart();
  int answered = 0;
  for (int i = 0; i < 5; ++i) {
    fleet.run->recent.Read(
        [&](bool is_complete) { answered += is_complete ? 1 : 0; });
  }
  const int64_t calls = fleet.run->objects.calls();
  fleet.Wait(Milliseconds(300));
  CHECK(answered == 5);
  CHECK(fleet.run->state.usage.Sum(window) ==
        core::AccountCounts{{{"north"}, 3}});
  // A watch of the registry, and those that the feed repeats.
  CHECK(fleet.run->objects.calls() - calls <= 20);
}

TEST_CASE("objects that are no recent state are not kept until all are read") {
  constexpr int64_t kPages = 300;
  constexpr int64_t kMaxGrowth = int64_t{64} * 1024 * 1024;
  TestGateway gateway(TestSettings());
  tests::LongList store(gateway.loop, "carawayvalve-recent", kPages);
  platform::ObjectClient objects(gateway.loop, store.address(), seconds(10));
  StoreFeed feed(gateway.context, objects);
  RecentStore recent(gateway.context, objects, feed);
  const int64_t before = base::ResidentBytes();
  int64_t most = before;
  net::Timer look(gateway.loop);
  std::function<void()> next = [&] {
    most = std::max(most, base::ResidentBytes());
    look.Start(Milliseconds(5), next);
  };
  next();
  bool is_read = false;
  recent.Read([&](bool is_complete) {
    is_read = is_complete;
    gateway.loop.Stop();
  });
  gateway.RunFor(seconds(60));
  CHECK(is_read);
  CHECK(store.listed() == kPages);
  CHECK(most - before < kMaxGrowth);
}

}  // namespace carawayvalve::gateway
