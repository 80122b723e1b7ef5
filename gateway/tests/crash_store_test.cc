// Guards against a request that crashes backend servers again after the loss of
// all gateways, as these knew of its crashes alone (issue 67).
#include "crash_store.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "crash_state_format.h"
#include "platform/store.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kKind[] = "carawayvalve-crashes";
constexpr char kName[] = "crashes";

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  return settings;
}

// One run of the only gateway; its successor is another one.
struct Run {
  explicit Run(const std::string& store)
      : objects(gateway.loop, base::ParseAddress(store), seconds(1)) {
    // It has been on its own for some time.
    GatewayState& state = this->gateway.state;
    state.started -= seconds(10);
    state.wall_clock.RecordOwnTime(
        std::chrono::system_clock::now().time_since_epoch(), base::Now());
    state.recent_state = core::RecentStateSchedule(
        {}, kDutyName, state.settings.host, state.started);
    this->objects.SetEraHandler([this](int64_t era) {
      this->gateway.context.NoteStoreEra(era, "store");
    });
  }

  void Crash(const std::string& digest, const std::string& crash) {
    this->gateway.state.poison_requests.NoteCrash({digest, {}}, crash,
                                                  base::Now());
  }
  bool Refuses(const std::string& digest) const {
    return this->gateway.state.poison_requests
        .QuarantineLeft({digest, {}}, base::Now())
        .has_value();
  }

  TestGateway gateway{TestSettings()};
  platform::ObjectClient objects;
  CrashStore crashes{gateway.context, objects};
};

struct Fleet {
  Fleet() { this->Restart(); }

  void Restart() {
    this->run.reset();
    this->run.emplace(this->store.address());
    this->Wait(Milliseconds(300));
  }
  // Runs the store and the gateway by turns.
  void Wait(base::Duration time) {
    const base::Instant end = base::Now() + time;
    while (base::Now() < end) {
      this->run->crashes.Step();
      this->run->gateway.RunFor(Milliseconds(10));
      this->platform.RunFor(Milliseconds(10));
    }
  }

  TestGateway platform{TestSettings()};
  tests::Store store{platform.loop};
  std::optional<Run> run;
};

}  // namespace

TEST_CASE("a successor of all gateways knows the crashes before") {
  Fleet fleet;
  fleet.run->Crash("poison", "crash 1");
  fleet.run->Crash("poison", "crash 2");
  fleet.Wait(seconds(1));

  SUBCASE("that were stored") {
    fleet.Restart();
    CHECK(fleet.run->Refuses("poison"));
    CHECK_FALSE(fleet.run->Refuses("sound"));
  }
  SUBCASE("those before an earlier loss as well") {
    fleet.Restart();
    fleet.run->Crash("other", "crash 3");
    fleet.run->Crash("other", "crash 4");
    fleet.Wait(seconds(2));
    fleet.Restart();
    CHECK(fleet.run->Refuses("poison"));
    CHECK(fleet.run->Refuses("other"));
  }
  SUBCASE("beside what another gateway has stored meanwhile") {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    fleet.store.Put(kKind, kName,
                    PrintCrashState({now,
                                     {{{"other", "crash 5", seconds(1), {}},
                                       {"other", "crash 6", seconds(1), {}}},
                                      {},
                                      {}}}));
    fleet.run->Crash("third", "crash 7");
    fleet.Wait(seconds(2));
    CHECK(fleet.run->Refuses("other"));
    fleet.Restart();
    CHECK(fleet.run->Refuses("poison"));
    CHECK(fleet.run->Refuses("other"));
  }
  SUBCASE("but not of a content that was answered since") {
    fleet.run->gateway.state.poison_requests.NoteAnswered("poison",
                                                          base::Now());
    fleet.Wait(seconds(6));
    fleet.Restart();
    CHECK_FALSE(fleet.run->Refuses("poison"));
  }
  SUBCASE("once the store answers") {
    fleet.store.refuses = true;
    fleet.Restart();
    CHECK_FALSE(fleet.run->Refuses("poison"));
    fleet.store.refuses = false;
    fleet.Wait(seconds(1));
    CHECK(fleet.run->Refuses("poison"));
  }
  SUBCASE("unless the object isn't one of ours") {
    fleet.store.Put(kKind, kName, {{"format", 1}, {"crashes", "none"}});
    fleet.Restart();
    CHECK_FALSE(fleet.run->Refuses("poison"));
  }
}

TEST_CASE("crashes are stored again as the store comes back from a copy") {
  Fleet fleet;
  const auto copy = fleet.store.Backup();
  fleet.run->Crash("poison", "crash 1");
  fleet.run->Crash("poison", "crash 2");
  fleet.Wait(seconds(1));
  fleet.store.ReturnTo(*copy);
  // Another call shows the new era.
  const auto call = fleet.run->objects.List("servers", "", false,
                                            [](const auto& /*result*/) {});
  fleet.Wait(seconds(3));
  fleet.Restart();
  CHECK(fleet.run->Refuses("poison"));
}

TEST_CASE("what is known of poison parts outlives all gateways") {
  Fleet fleet;
  for (const char* number : {"1", "2", "3"}) {
    fleet.run->gateway.state.poison_requests.NoteCrash(
        {std::string("content ") + number, {"m/rules", "m/poison"}},
        std::string("crash ") + number, base::Now());
    fleet.Wait(Milliseconds(150));
  }
  fleet.run->gateway.state.poison_requests.NoteServed({"m/rules"}, base::Now());
  fleet.Wait(seconds(2));
  fleet.Restart();
  const auto left = [&](const std::vector<std::string>& parts) {
    return fleet.run->gateway.state.poison_requests.QuarantineLeft(
        {"never seen", parts}, base::Now());
  };
  CHECK(left({"m/rules", "m/poison"}).has_value());
  CHECK_FALSE(left({"m/rules"}).has_value());
}

TEST_CASE("a calm day costs one call of the store at each start") {
  Fleet fleet;
  fleet.Wait(seconds(2));
  CHECK(fleet.run->objects.calls() == 1);
  fleet.run->gateway.state.NoteBackendCrash({"w-1"}, base::Now());
  fleet.Wait(seconds(1));
  CHECK(fleet.run->objects.calls() == 1);
}

TEST_CASE("a state of crashes is read as it was written") {
  const WrittenCrashState written = {
      seconds(1000),
      {{{"d", "w-1/5", seconds(3), {"model/part"}}},
       {{"model/part", seconds(2)}},
       {{"model/other", 3, seconds(1)}}}};
  CHECK(ParseCrashState(PrintCrashState(written)) == written);

  SUBCASE("without what is no text") {
    WrittenCrashState odd = written;
    odd.state.crashes.push_back({"e", "\xff", seconds(0), {}});
    odd.state.served.push_back({"\xff", seconds(0)});
    odd.state.blamed.push_back({"\xff", 3, seconds(0)});
    CHECK(ParseCrashState(PrintCrashState(odd)) == written);
  }
}

}  // namespace carawayvalve::gateway
