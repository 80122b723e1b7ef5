// Guards against a gateway that takes what it knew of the store for current
// after the store has come back from an older copy.
#include <doctest/doctest.h>

#include "platform/store.h"
#include "registry_relay.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr Milliseconds kSlice(10);

nlohmann::json DeskServer(const char* state) {
  return {{"service", "desk"}, {"addr", "127.0.0.1:1"},
          {"zone", "a"},       {"version", "v1"},
          {"slots", 4},        {"state", state},
          {"born", 1}};
}

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.bounds.key_withdrawal = seconds(60);
  return settings;
}

// A gateway with all that follows the store.
struct DrilledGateway {
  explicit DrilledGateway(const std::string& store)
      : objects(gateway.loop, base::ParseAddress(store), Milliseconds(1000)) {}

  const core::BackendEntry* Find(const std::string& id) const {
    return this->gateway.state.directory.Find({id});
  }

  TestGateway gateway{TestSettings()};
  platform::ObjectClient objects;
  StoreFeed feed{gateway.context, objects};
  RegistryRelay relay{gateway.context, feed};
};

// A gateway that watches the store, and one that is told by it.
struct Drill {
  Drill() {
    this->store.Put("servers", "i-1", DeskServer("up"));
    this->watching.feed.SetWatchWaits(
        {{seconds(60), std::nullopt}, {seconds(60), std::nullopt}});
    this->told.feed.SetWatchWaits(
        {{std::nullopt, std::nullopt}, {std::nullopt, seconds(60)}});
    this->watching.feed.Start();
    this->told.feed.Start();
    this->Run(Milliseconds(300));
    this->copy = this->store.Backup();
  }

  // Runs all for `time`, while the one gateway tells the other.
  void Run(base::Duration time) {
    const base::Instant end = base::Now() + time;
    while (base::Now() < end) {
      for (TestGateway* each :
           {&this->platform, &this->watching.gateway, &this->told.gateway}) {
        each->RunFor(kSlice);
      }
      for (DrilledGateway* each : {&this->watching, &this->told}) {
        each->feed.RenewFreshness(base::Now());
        each->feed.ExpireBackends();
      }
      this->told.relay.Apply(this->Message(),
                             {"127.0.0.1", this->server.port()});
    }
  }

  // Returns what the watching gateway says now.
  wire::gen::Gossip Message() const {
    wire::gen::Gossip message;
    message.host = "watching";
    message.echo = base::ToMilliseconds(base::Now().time_since_epoch());
    message.registry_revision =
        this->watching.feed.registry_revision().revision;
    this->watching.relay.AddTo(message);
    return message;
  }

  TestGateway platform{TestSettings()};
  tests::Store store{platform.loop};
  DrilledGateway watching{store.address()};
  DrilledGateway told{store.address()};
  net::HttpServer server{
      watching.gateway.loop,
      {"127.0.0.1", 0},
      [this](const auto& exchange) {
        const auto answer =
            this->watching.relay.Answer(exchange->request().target);
        exchange->Respond(
            {{answer.has_value() ? 200 : 404, {}}, answer.value_or("")});
      }};
  std::shared_ptr<const tests::Store::Copy> copy;
};

}  // namespace

TEST_CASE("the store comes back from an older copy") {
  Drill drill;

  SUBCASE("a gateway without a watch learns what is written there next") {
    for (int i = 2; i < 10; ++i) {
      drill.store.Put("servers", "i-" + std::to_string(i), DeskServer("up"));
    }
    drill.Run(Milliseconds(1200));
    REQUIRE(drill.told.Find("i-9") != nullptr);
    drill.store.ReturnTo(*drill.copy);
    drill.Run(Milliseconds(300));
    drill.store.Put("servers", "i-1", DeskServer("draining"));
    drill.Run(Milliseconds(1500));
    CHECK(drill.watching.Find("i-1")->draining);
    CHECK(drill.told.Find("i-1")->draining);

    SUBCASE("and goes on learning it") {
      drill.store.Put("servers", "i-20", DeskServer("up"));
      drill.Run(Milliseconds(1500));
      CHECK(drill.told.Find("i-20") != nullptr);
    }
  }
  SUBCASE("a backend server that the copy lacks is kept until it is back") {
    drill.store.Put("servers", "i-2", DeskServer("up"));
    drill.Run(Milliseconds(1200));
    drill.store.ReturnTo(*drill.copy);
    drill.Run(Milliseconds(600));
    for (const DrilledGateway* each : {&drill.watching, &drill.told}) {
      CHECK(each->Find("i-2") != nullptr);
    }
    drill.store.Put("servers", "i-2", DeskServer("up"));
    drill.Run(seconds(3));
    for (const DrilledGateway* each : {&drill.watching, &drill.told}) {
      CHECK(each->Find("i-2") != nullptr);
    }
  }
  SUBCASE("one that drained before stays so, whatever the copy shows") {
    drill.store.Put("servers", "i-1", DeskServer("draining"));
    drill.Run(Milliseconds(1200));
    drill.store.ReturnTo(*drill.copy);
    drill.Run(Milliseconds(600));
    for (const DrilledGateway* each : {&drill.watching, &drill.told}) {
      CHECK(each->Find("i-1")->draining);
    }
  }
  SUBCASE(
      "one that was removed before gets no requests, though the copy has it") {
    drill.store.Remove("servers", "i-1");
    drill.Run(Milliseconds(1200));
    drill.store.ReturnTo(*drill.copy);
    drill.Run(Milliseconds(1000));
    for (const DrilledGateway* each : {&drill.watching, &drill.told}) {
      REQUIRE(each->Find("i-1") != nullptr);
      CHECK(each->Find("i-1")->draining);
    }
    nlohmann::json again = DeskServer("up");
    again["slots"] = 5;
    drill.store.Put("servers", "i-1", again);
    drill.Run(Milliseconds(1500));
    for (const DrilledGateway* each : {&drill.watching, &drill.told}) {
      CHECK_FALSE(each->Find("i-1")->draining);
    }
  }
  SUBCASE("what a peer knows of before confirms nothing") {
    drill.store.Put("servers", "i-2", DeskServer("up"));
    drill.Run(Milliseconds(1200));
    const wire::gen::Gossip before = drill.Message();
    drill.store.ReturnTo(*drill.copy);
    drill.Run(Milliseconds(600));
    const auto confirmed = drill.told.feed.registry().confirmed();
    wire::gen::Gossip late = before;
    late.echo = base::ToMilliseconds(base::Now().time_since_epoch());
    late.registry_proof.age_ms = 0;
    drill.told.relay.Apply(late, {"127.0.0.1", drill.server.port()});
    CHECK(drill.told.feed.registry().confirmed() == confirmed);
  }
}

}  // namespace carawayvalve::gateway
