// Guards against requests to a backend server that has left without a word,
// while the store cuts off waiting watches (issue 67), and against giving up
// backend servers whose entries expire in an outage of the store.
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>

#include "platform/store.h"
#include "store_feed.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

// Half of the time after which a backend server that has left must get no more
// requests.
constexpr Milliseconds kSoon(1000);
// How long entries that expired in an outage may be missing after it.
constexpr Milliseconds kMissing(1600);

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  return settings;
}

nlohmann::json DeskServer() {
  return {{"service", "desk"}, {"addr", "127.0.0.1:1"},
          {"zone", "a"},       {"version", "v1"},
          {"slots", 4},        {"state", "up"},
          {"born", 1}};
}

// A gateway that follows two backend servers.
struct Fleet {
  Fleet() {
    this->store.Put("servers", "one", DeskServer());
    this->store.Put("servers", "two", DeskServer());
    this->feed.Start();
    // Long enough that changes made at the start delay no watch.
    this->Wait(seconds(1));
    REQUIRE(this->Knows("one"));
  }

  void Wait(base::Duration time) {
    const base::Instant end = base::Now() + time;
    while (base::Now() < end) {
      this->gateway.RunFor(std::min<base::Duration>(end - base::Now(), kTick));
      this->feed.ExpireBackends();
      this->feed.RenewFreshness(base::Now());
    }
  }
  // Cuts off the watches of a kind each `interval` for `time`.
  void Cut(const std::string& kind,
           base::Duration interval,
           base::Duration time) {
    const base::Instant end = base::Now() + time;
    while (base::Now() < end) {
      this->store.CutWatches(kind);
      this->Wait(std::min<base::Duration>(interval, end - base::Now()));
    }
  }
  void Remove(const std::string& id) { this->store.Remove("servers", id); }
  // The store is away, and all entries expire meanwhile.
  void Outage(base::Duration time) {
    this->store.down = true;
    this->store.CutWatches("");
    this->Remove("one");
    this->Remove("two");
    this->Wait(time);
    this->store.down = false;
  }
  bool Knows(const std::string& id) const {
    return this->gateway.state.directory.Find({id}) != nullptr;
  }

  static constexpr Milliseconds kTick{50};
  TestGateway gateway{TestSettings()};
  tests::Store store{gateway.loop};
  platform::ObjectClient objects{
      gateway.loop, base::ParseAddress(store.address()), seconds(1)};
  StoreFeed feed{gateway.context, objects};
};

}  // namespace

TEST_CASE("a backend server that has left is dropped at once") {
  Fleet fleet;

  SUBCASE("as the store cuts off a watch before that") {
    fleet.store.CutWatches("servers");
    fleet.Wait(Milliseconds(300));
    fleet.Remove("one");
    fleet.Wait(kSoon);
  }
  SUBCASE("as the store cuts off a watch right before that") {
    fleet.store.CutWatches("servers");
    fleet.Wait(Milliseconds(30));
    fleet.Remove("one");
    fleet.Wait(kSoon);
  }
  SUBCASE("as the store cuts off watches again and again") {
    fleet.Cut("servers", Milliseconds(500), seconds(1));
    fleet.Remove("one");
    fleet.Cut("servers", Milliseconds(500), kSoon);
  }
  SUBCASE("as the store cuts off watches of all kinds") {
    fleet.Cut("", Milliseconds(400), seconds(1));
    fleet.Remove("one");
    fleet.Cut("", Milliseconds(400), kSoon);
  }
  SUBCASE("as the store has just refused a call") {
    fleet.store.refuses = true;
    fleet.store.CutWatches("servers");
    fleet.Wait(Milliseconds(150));
    fleet.store.refuses = false;
    fleet.Wait(Milliseconds(300));
    fleet.Remove("one");
    fleet.Wait(kSoon);
  }
  SUBCASE("as the store cuts off watches and has lost the history") {
    fleet.Remove("one");
    fleet.store.Compact();
    fleet.store.CutWatches("servers");
    fleet.Wait(kSoon);
  }
  CHECK_FALSE(fleet.Knows("one"));
  CHECK(fleet.Knows("two"));
}

TEST_CASE("a cut watch doesn't leave the list of backend servers in doubt") {
  Fleet fleet;
  // Longer than a stream that is taken up can wait.
  fleet.feed.SetWatchWaits(
      {{seconds(60), std::nullopt}, {seconds(60), std::nullopt}});
  fleet.Wait(seconds(3));
  fleet.store.CutWatches("servers");
  fleet.Wait(Milliseconds(300));
  CHECK(fleet.feed.registry().IsCurrent());
  CHECK(fleet.gateway.state.directory
            .OnlyVersion({"desk"}, seconds(1), base::Now())
            .has_value());
}

TEST_CASE("entries that expire in an outage of the store") {
  Fleet fleet;
  fleet.Outage(seconds(4));

  SUBCASE("are kept until they are back") {
    fleet.Wait(kMissing);
    CHECK(fleet.Knows("one"));
    CHECK(fleet.Knows("two"));
    fleet.store.Put("servers", "one", DeskServer());
    fleet.Wait(seconds(3));
    CHECK(fleet.Knows("one"));

    SUBCASE("and dropped if they don't come back") {
      CHECK_FALSE(fleet.Knows("two"));
    }
  }
  SUBCASE("are kept as the store cuts off watches") {
    fleet.Cut("", Milliseconds(300), kMissing);
    CHECK(fleet.Knows("one"));
    CHECK(fleet.Knows("two"));

    SUBCASE("but no longer for that") {
      fleet.Cut("", Milliseconds(500), seconds(2));
      CHECK_FALSE(fleet.Knows("one"));
    }
  }
}

TEST_CASE("a gateway without a watch keeps entries that expire in an outage") {
  Fleet fleet;
  fleet.feed.SetWatchWaits(
      {{std::nullopt, std::nullopt}, {std::nullopt, Milliseconds(3300)}});
  fleet.Wait(seconds(2));
  REQUIRE(fleet.feed.registry().IsIdle());
  fleet.Outage(seconds(4));
  fleet.Wait(kMissing);
  CHECK(fleet.Knows("one"));
}

TEST_CASE("entries that expire while the store refuses calls are kept") {
  Fleet fleet;
  fleet.store.refuses = true;
  fleet.store.CutWatches("servers");
  fleet.Remove("one");
  fleet.Wait(seconds(4));
  fleet.store.refuses = false;
  fleet.Wait(kMissing);
  CHECK(fleet.Knows("one"));
}

TEST_CASE("entries that expire while the store is silent are kept") {
  Fleet fleet;
  fleet.store.silent = true;
  fleet.Remove("one");
  fleet.Wait(seconds(5));
  fleet.store.silent = false;
  fleet.Wait(kMissing);
  CHECK(fleet.Knows("one"));
}

}  // namespace carawayvalve::gateway
