#include "registry_relay.h"

#include <doctest/doctest.h>

#include "platform/link.h"
#include "platform/store.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr Milliseconds kRenewAge(2000);
// Bytes a second that requests leave of a link of 10 Mbit/s.
constexpr int64_t kSlowLink = 60000;

nlohmann::json DeskServer(const char* state) {
  return {{"service", "desk"}, {"addr", "127.0.0.1:1"},
          {"zone", "a"},       {"version", "v1"},
          {"slots", 4},        {"state", state},
          {"born", 1}};
}

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  // No call is due for the keys' sake.
  settings.bounds.key_withdrawal = seconds(60);
  return settings;
}

// A gateway that watches the store, and one that is told by it.
struct RelayTest {
  RelayTest() {
    this->store.Put("servers", "i-1", DeskServer("up"));
    this->watching.SetWatchWaits(
        {{seconds(60), std::nullopt}, {seconds(60), std::nullopt}});
    this->told.SetWatchWaits(
        {{std::nullopt, std::nullopt}, {std::nullopt, kRenewAge}});
    this->watching.Start();
    this->told.Start();
    this->gateway.RunFor(Milliseconds(300));
  }

  // Returns what the watching gateway says now.
  wire::gen::Gossip Message() const {
    wire::gen::Gossip message;
    message.host = "watching";
    message.echo = base::ToMilliseconds(base::Now().time_since_epoch());
    message.__set_echo_boot(this->gateway.state.boot.value);
    message.registry_revision = this->watching.registry_revision().revision;
    this->watching_relay.AddTo(message);
    return message;
  }
  base::Address server_address() const {
    return {"127.0.0.1", this->server.port()};
  }
  // Runs both for `time`. The told one gets no messages meanwhile.
  void Run(base::Duration time) {
    const base::Instant end = base::Now() + time;
    while (base::Now() < end) {
      this->told.RenewFreshness(base::Now());
      this->gateway.RunFor(Milliseconds(50));
    }
  }

  TestGateway gateway{TestSettings()};
  tests::Store store{gateway.loop};
  platform::ObjectClient watching_objects{
      gateway.loop, base::ParseAddress(store.address()), Milliseconds(1000)};
  platform::ObjectClient told_objects{
      gateway.loop, base::ParseAddress(store.address()), Milliseconds(1000)};
  StoreFeed watching{gateway.context, watching_objects};
  StoreFeed told{gateway.context, told_objects};
  RegistryRelay watching_relay{gateway.context, watching};
  RegistryRelay told_relay{gateway.context, told};
  net::HttpServer server{
      gateway.loop,
      {"127.0.0.1", 0},
      [this](const auto& exchange) {
        const auto answer =
            this->watching_relay.Answer(exchange->request().target);
        exchange->Respond(
            {{answer.has_value() ? 200 : 404, {}}, answer.value_or("")});
      }};
};

}  // namespace

TEST_CASE("a gateway without a watch learns of changes from a peer") {
  RelayTest test;
  const int64_t calls_before = test.told_objects.calls();
  test.store.Put("servers", "i-2", DeskServer("draining"));
  test.store.Remove("servers", "i-1");
  // The watching gateway waits for further changes after the first ones.
  test.Run(Milliseconds(900));
  REQUIRE(test.told.registry_revision() < test.watching.registry_revision());

  SUBCASE("at once and without a call to the store") {
    test.told_relay.Apply(test.Message(), test.server_address());
    test.gateway.RunFor(Milliseconds(100));
    CHECK(test.told.registry_revision() == test.watching.registry_revision());
    CHECK(test.gateway.state.directory.Find({"i-2"})->draining);
    CHECK(test.told_objects.calls() == calls_before);

    SUBCASE("and needs none while the peer says that it is current") {
      const base::Instant before = base::Now();
      wire::gen::Gossip message = test.Message();
      message.registry_proof.age_ms = 0;
      test.told_relay.Apply(message, test.server_address());
      CHECK(test.told.registry().confirmed() >= before - Milliseconds(1));
      test.Run(kRenewAge - Milliseconds(200));
      CHECK(test.told_objects.calls() == calls_before);

      SUBCASE("but asks the store once it has heard nothing for a while") {
        test.Run(Milliseconds(500));
        CHECK(test.told_objects.calls() == calls_before + 1);
        CHECK(base::Now() - *test.told.registry().confirmed() < kRenewAge);
      }
    }
  }
  SUBCASE("or from the store if the peer doesn't answer") {
    test.told_relay.Apply(test.Message(), {"127.0.0.1", 1});
    test.Run(Milliseconds(600));
    CHECK(test.told.registry_revision() == test.watching.registry_revision());
    CHECK(test.told_objects.calls() == calls_before + 1);
  }
  SUBCASE("and isn't current while it lacks them") {
    const auto confirmed = test.told.registry().confirmed();
    wire::gen::Gossip message = test.Message();
    message.registry_proof.age_ms = 0;
    test.told_relay.Apply(message, {"127.0.0.1", 1});
    CHECK(test.told.registry().confirmed() == confirmed);
  }
}

// Guards against answers that are abandoned while they arrive.
TEST_CASE("changes of many backend servers come from a peer with a slow link") {
  constexpr int kServers = 250;
  RelayTest test;
  for (int i = 0; i < kServers; ++i) {
    test.store.Put("servers", "j-" + std::to_string(i), DeskServer("up"));
  }
  test.Run(Milliseconds(900));
  REQUIRE(test.told.registry_revision() < test.watching.registry_revision());
  test.store.silent = true;
  tests::Link link(test.gateway.loop, test.server.port());
  link.SetRate(kSlowLink);
  test.told_relay.Apply(test.Message(), {"127.0.0.1", link.port()});
  test.Run(seconds(2));
  CHECK(test.told.registry_revision() == test.watching.registry_revision());
}

TEST_CASE("a gateway tells its peers only what it knows without a gap") {
  const RelayTest test;
  const int64_t revision =
      test.watching.registry().received_revision().revision;
  const auto path = [](int64_t after) {
    return "/registry?after=" + std::to_string(after) + "&era=1";
  };
  CHECK(test.watching_relay.Answer(path(revision)).has_value());
  CHECK(!test.watching_relay.Answer(path(revision - 1)).has_value());
  CHECK(!test.watching_relay.Answer(path(revision + 1)).has_value());
  CHECK(!test.watching_relay
             .Answer("/registry?after=" + std::to_string(revision) + "&era=2")
             .has_value());
  CHECK(!test.watching_relay.Answer("/registry?after=x").has_value());
  CHECK(!test.watching_relay.Answer("/registry?after=1&era=").has_value());
  CHECK(!test.watching_relay.Answer("/plan").has_value());
}

}  // namespace carawayvalve::gateway
