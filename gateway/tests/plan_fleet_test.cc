#include <doctest/doctest.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "carawayvalve/base/error.h"
#include "peer_gossip.h"
#include "platform/plans.h"
#include "platform/store.h"
#include "store_feed.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

// Of them one asks the store at short intervals and two watch it.
constexpr int kGateways = 8;
constexpr int64_t kGatewaysAtStore = 3;
constexpr int kManyRoutes = 300;
// Answers of the store that are larger hold the configuration.
constexpr size_t kPlanBytes = 10000;
// How long the store is away: gateways that hear of no confirmation ask it
// themselves by then.
constexpr Milliseconds kAway(2500);

nlohmann::json Plan(int64_t version) {
  return tests::PlanWithRoutes(version,
                               kManyRoutes + static_cast<int>(version));
}

GatewaySettings TestSettings(int number) {
  GatewaySettings settings;
  settings.host = {"host-" + std::to_string(number)};
  settings.bounds.key_withdrawal = seconds(60);
  settings.listen.peers = {"127.0.0.1", 0};
  return settings;
}

// The parts of one gateway that follow the configuration.
struct Host {
  Host(int number, const std::string& store)
      : gateway(TestSettings(number)),
        objects(gateway.loop, base::ParseAddress(store), Milliseconds(1000)) {}

  void Start(uint16_t& port) {
    for (bool listens = false; !listens;) {
      this->gateway.state.settings.listen.peers.port = port++;
      try {
        this->gossip.Listen();
        listens = true;
      } catch (const base::Error&) {
        // The port is in use by another process.
      }
    }
    this->feed.Start();
    this->gossip.Start();
  }
  int64_t version() const {
    const auto& table = this->gateway.state.table;
    return table == nullptr ? 0 : table->version();
  }

  TestGateway gateway;
  platform::ObjectClient objects;
  StoreFeed feed{gateway.context, objects};
  PeerGossip gossip{gateway.context, objects, feed};
};

// Gateways that tell each other of the configuration, and the store.
struct Fleet {
  Fleet() {
    this->store.Put("config", "main", Plan(1));
    this->store.on_answer = [this](const std::string& text) {
      if (text.size() > kPlanBytes) {
        ++this->plans_sent;
      }
    };
    auto port = static_cast<uint16_t>(20000 + getpid() % 10000);
    for (int i = 0; i < kGateways; ++i) {
      this->hosts.push_back(std::make_unique<Host>(i, this->store.address()));
      this->hosts.back()->Start(port);
    }
    // They know each other by then, and no more than are to ask the store.
    this->RunFor(seconds(3));
  }

  bool AllHave(int64_t version) const {
    return std::all_of(
        this->hosts.begin(), this->hosts.end(),
        [&](const auto& host) { return host->version() == version; });
  }
  void RunFor(base::Duration time) {
    this->RunUntil([] { return false; }, time);
  }
  void RunUntil(const std::function<bool()>& condition, base::Duration time) {
    const base::Instant end = base::Now() + time;
    while (base::Now() < end && !condition()) {
      this->store_gateway.RunFor(Milliseconds(1));
      for (const auto& host : this->hosts) {
        host->gateway.RunFor(Milliseconds(1));
      }
    }
  }
  // Puts a version into the store and returns how often the store sends the
  // configuration within `time`.
  int64_t Change(int64_t version, base::Duration time) {
    this->plans_sent = 0;
    this->store.Put("config", "main", Plan(version));
    this->RunFor(time);
    return this->plans_sent;
  }

  // The loop of the store.
  TestGateway store_gateway{TestSettings(kGateways)};
  tests::Store store{store_gateway.loop};
  int64_t plans_sent = 0;
  std::vector<std::unique_ptr<Host>> hosts;
};

}  // namespace

// Guards against a store and links that are filled with what peers have passed
// on already.
TEST_CASE("the store sends a configuration to few gateways") {
  Fleet fleet;
  REQUIRE(fleet.AllHave(1));
  CHECK(fleet.Change(2, seconds(2)) <= kGatewaysAtStore);
  CHECK(fleet.AllHave(2));

  SUBCASE("also once it was away") {
    fleet.store.silent = true;
    fleet.RunFor(kAway);
    fleet.store.silent = false;
    fleet.plans_sent = 0;
    fleet.RunFor(seconds(3));
    CHECK(fleet.plans_sent == 0);
    CHECK(fleet.AllHave(2));
  }

  SUBCASE("also once it was away, and doesn't know older revisions any more") {
    // Of other kinds than those that gateways watch.
    for (int i = 0; i < 10; ++i) {
      fleet.store.Put("other", std::to_string(i), {{"a", 1}});
    }
    // The gateways that ask the store hear that nothing has changed.
    fleet.RunFor(seconds(1));
    fleet.store.silent = true;
    fleet.store.Compact();
    fleet.RunFor(kAway);
    fleet.store.silent = false;
    fleet.plans_sent = 0;
    fleet.RunFor(seconds(3));
    CHECK(fleet.plans_sent == 0);
    CHECK(fleet.AllHave(2));
  }
}

}  // namespace carawayvalve::gateway
