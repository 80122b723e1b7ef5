#include "peer_gossip.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <set>
#include <string>
#include <vector>

#include "carawayvalve/base/error.h"
#include "gossip_format.h"
#include "platform/backend.h"
#include "platform/store.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kPeers = 28;
constexpr int kAccounts = 84;
// 1 Mbit/s, a tenth of the slowest link of a gateway (10 Mbit/s).
constexpr int64_t kMaxBytesPerSecond = 125000;
constexpr std::chrono::seconds kTestDuration(4);
// Enough for a few rounds of gossip.
constexpr base::Milliseconds kFewRounds(300);

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.listen.peers = {"127.0.0.1", 0};
  // Nothing listens there: gateways learn of each other by gossip only.
  settings.store.address = {"127.0.0.1", 1};
  return settings;
}

// Starts `gossip` at a free port, which it uses for datagrams and connections.
// The ports tried are below those that the system assigns to outgoing
// connections of other tests.
void StartAtFreePort(PeerGossip& gossip, uint16_t& port) {
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 12000;
  for (int i = 0; i < kPorts; ++i) {
    port = static_cast<uint16_t>(kFirstPort + (getpid() * 64 + i) % kPorts);
    try {
      gossip.Listen();
      gossip.Start();
      return;
    } catch (const base::Error&) {
      // The port is in use by another process.
    }
  }
}

constexpr bool kWithStore = true;
constexpr bool kWithoutStore = false;

// The gossip of one gateway, with or without a reachable store.
struct GossipTest {
  explicit GossipTest(bool with_store)
      : objects(gateway.loop,
                with_store ? base::ParseAddress(store.address())
                           : gateway.state.settings.store.address,
                base::Milliseconds(500)) {}

  void Start() {
    StartAtFreePort(this->gossip,
                    this->gateway.state.settings.listen.peers.port);
  }
  // Sends a message to the gateway as a peer.
  void SendToGateway(net::DatagramSocket& peer,
                     const wire::gen::Gossip& message) {
    peer.Send(PrintGossip(message), this->gateway.state.settings.listen.peers);
  }

  TestGateway gateway{TestSettings()};
  tests::Store store{gateway.loop};
  platform::ObjectClient objects;
  StoreFeed feed{gateway.context, objects};
  PeerGossip gossip{gateway.context, objects, feed};
};

// Returns the first message of a peer.
wire::gen::Gossip FirstMessage(const std::string& host,
                               const std::string& boot) {
  wire::gen::Gossip hello;
  hello.host = host;
  hello.boot = boot;
  return hello;
}

}  // namespace

// Guards against gossip that fills the gateways' links: all gateways of a large
// fleet have counted usage in the current windows, and all of them restart.
TEST_CASE("gossip uses little of the bandwidth of a gateway's link" *
          doctest::skip()) {
  TestGateway gateway(TestSettings());
  net::EventLoop& loop = gateway.loop;
  GatewayState& state = gateway.state;
  platform::ObjectClient objects(loop, {"127.0.0.1", 1},
                                 base::Milliseconds(100));
  StoreFeed feed(gateway.context, objects);
  const int64_t window = state.wall_clock.At(base::Now()) /
                         base::Duration(state.settings.duties.usage_window);
  for (int source = 0; source < kPeers; ++source) {
    core::WindowCountsPart part{window, {"boot" + std::to_string(source)}, {}};
    for (int account = 0; account < kAccounts; ++account) {
      part.counts[{"account" + std::to_string(account)}] = 7;
    }
    state.usage.Merge(part);
  }
  for (int account = 0; account < kAccounts; ++account) {
    state.usage.Count(state.boot, window,
                      {"account" + std::to_string(account)});
  }
  PeerGossip gossip(gateway.context, objects, feed);
  StartAtFreePort(gossip, state.settings.listen.peers.port);
  int64_t bytes = 0;
  std::vector<std::unique_ptr<net::DatagramSocket>> peers;
  for (int i = 0; i < kPeers; ++i) {
    peers.push_back(std::make_unique<net::DatagramSocket>(
        loop, base::Address{"127.0.0.1", 0},
        [&](const std::string& data, const base::Address&) {
          bytes += static_cast<int64_t>(data.size());
        }));
    wire::gen::Gossip hello;
    hello.host = "peer" + std::to_string(i);
    hello.boot = "fresh" + std::to_string(i);
    peers.back()->Send(PrintGossip(hello), state.settings.listen.peers);
  }
  gateway.RunFor(kTestDuration);
  CHECK(bytes > 0);
  CHECK(bytes <= kMaxBytesPerSecond * kTestDuration.count());
}

// Gateways that start together list each other before all have registered.
TEST_CASE("a peer that sends gossip shares the slack before it is listed") {
  GossipTest test(kWithStore);
  test.Start();
  test.gateway.RunFor(kFewRounds);
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [](const auto&, const auto&) {});
  test.SendToGateway(peer, FirstMessage("peer", "first"));
  test.gateway.RunFor(kFewRounds);
  CHECK(test.gateway.state.retry_members.Count() == 2);
}

TEST_CASE("a gateway whose registration was not answered counts as new") {
  GossipTest test(kWithStore);
  test.store.lost_writes = 1;
  test.Start();
  test.gateway.RunFor(std::chrono::seconds(1));
  const core::RetryBudgetMembers& retry_members =
      test.gateway.state.retry_members;
  REQUIRE(retry_members.HasListed());
  // Peers may list it only a list interval later, and until then divide the
  // slack without it.
  const core::RetryBudgetMembers::Settings settings;
  CHECK_FALSE(
      retry_members.SlackDivisor(base::Now() + settings.window).has_value());
}

// Guards against a gateway that forgets poison requests when it restarts: a
// request that crashed backend servers is sent again to a restarted gateway.
TEST_CASE("a restarted gateway receives the crash records of its peers") {
  GossipTest test(kWithoutStore);
  core::PoisonRequestTracker& poison_requests =
      test.gateway.state.poison_requests;
  const base::Instant crashed_at = base::Now() - std::chrono::seconds(60);
  poison_requests.NoteCrash({"content", {}}, "first", crashed_at);
  poison_requests.NoteCrash({"content", {}}, "second", crashed_at);
  test.Start();
  size_t records_received = 0;
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [&](const std::string& data, const base::Address&) {
                             records_received +=
                                 ParseGossip(data)->deaths.size();
                           });
  test.SendToGateway(peer, FirstMessage("peer", "second"));
  test.gateway.RunFor(kFewRounds);
  CHECK(records_received == 2);
}

TEST_CASE(
    "gateways avoid an engine that a peer has ordered to change its role") {
  GossipTest test(kWithoutStore);
  test.Start();
  GatewayState& state = test.gateway.state;
  int64_t absence_left_ms = 0;
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [&](const std::string& data, const base::Address&) {
                             const auto message = ParseGossip(data);
                             if (!message->absences.empty()) {
                               absence_left_ms =
                                   message->absences.front().left_ms;
                             }
                           });
  wire::gen::GossipAbsence absence;
  absence.backend_server = "ordered-there";
  absence.left_ms = 4000;
  wire::gen::Gossip hello = FirstMessage("peer", "first");
  hello.__set_absences({absence});
  test.SendToGateway(peer, hello);
  state.changing_roles[{"ordered-here"}] =
      base::Now() + std::chrono::seconds(4);
  test.gateway.RunFor(kFewRounds);

  CHECK_FALSE(state.health.Usable({"ordered-there"}, 0, base::Now()));
  CHECK(absence_left_ms > 0);
  CHECK(absence_left_ms <= 4000);
}

// Guards against a silent peer that is taken for one that knows no stream.
TEST_CASE("a gateway answers which versions began streams with a content") {
  GossipTest test(kWithoutStore);
  test.Start();
  std::optional<wire::gen::Gossip> answer;
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [&](const std::string& data, const base::Address&) {
                             auto message = ParseGossip(data);
                             if (message->__isset.answered_question) {
                               answer = std::move(message);
                             }
                           });
  wire::gen::Gossip question = FirstMessage("peer", "first");
  question.stamp = 5;
  question.__set_wanted_contents({"content"});
  question.__set_question(7);
  size_t versions = 0;
  SUBCASE("if it knows none") {}
  SUBCASE("if it knows more streams than a message holds") {
    versions = 2;
    for (int i = 0; i < 100; ++i) {
      test.gateway.state.stream_origins.Note(
          {{"r" + std::to_string(i)}, i == 99 ? "v2" : "v1", {}, "content"},
          base::Now());
    }
  }
  test.SendToGateway(peer, question);
  test.gateway.RunFor(kFewRounds);
  REQUIRE(answer.has_value());
  CHECK(answer->answered_question == 7);
  CHECK(answer->echo_boot == "first");
  CHECK(answer->stream_origins.size() == versions);
}

TEST_CASE("gateways tell each other which backend servers leave") {
  GossipTest test(kWithoutStore);
  test.Start();
  GatewayState& state = test.gateway.state;
  for (const char* id : {"heard-there", "heard-here"}) {
    core::BackendEntry entry;
    entry.id = {id};
    entry.started_ms = 7;
    state.directory.NoteEntry(entry);
  }
  std::string departed;
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [&](const std::string& data, const base::Address&) {
                             const auto message = ParseGossip(data);
                             for (const auto& departure : message->departures) {
                               departed += departure.backend_server + " ";
                             }
                             if (!departed.empty()) {
                               test.gateway.loop.Stop();
                             }
                           });
  test.SendToGateway(peer, FirstMessage("peer", "first"));
  test.gateway.RunFor(kFewRounds);

  SUBCASE("a peer's word holds for the run that it names") {
    wire::gen::GossipDeparture departure;
    departure.backend_server = "heard-there";
    departure.started_ms = 7;
    wire::gen::Gossip message = FirstMessage("peer", "first");
    message.__set_departures({departure});
    test.SendToGateway(peer, message);
    test.gateway.RunFor(kFewRounds);
    CHECK(state.directory.Find({"heard-there"})->draining);
    CHECK_FALSE(state.directory.Find({"heard-here"})->draining);
  }
  SUBCASE("an own answer is told at once") {
    test.gateway.context.NoteBackendHead(*state.directory.Find({"heard-here"}),
                                         {200, {{"Server-Leaving", "1"}}},
                                         base::Now());
    test.gateway.RunFor(base::Milliseconds(150));
    CHECK(departed == "heard-here ");
  }
}

TEST_CASE("gateways tell each other which request rates backend servers take") {
  GossipTest test(kWithoutStore);
  test.Start();
  GatewayState& state = test.gateway.state;
  core::BackendEntry entry;
  entry.id = {"limited"};
  entry.started_ms = 7;
  state.directory.NoteEntry(entry);
  std::vector<wire::gen::GossipRateLimit> told;
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [&](const std::string& data, const base::Address&) {
                             const auto message = ParseGossip(data);
                             told.insert(told.end(),
                                         message->rate_limits.begin(),
                                         message->rate_limits.end());
                           });
  test.SendToGateway(peer, FirstMessage("peer", "first"));
  test.gateway.RunFor(kFewRounds);
  const auto answer = [&](const net::HeaderFields& fields) {
    test.gateway.context.NoteBackendHead(entry, {200, fields}, base::Now());
  };

  SUBCASE("a peer's word holds for the run that it names") {
    wire::gen::Gossip message = FirstMessage("peer", "first");
    message.rate_limits.emplace_back();
    message.rate_limits.back().backend_server = "limited";
    message.rate_limits.back().started_ms = 7;
    message.rate_limits.back().__set_per_second(2);
    message.__isset.rate_limits = true;
    test.SendToGateway(peer, message);
    test.gateway.RunFor(kFewRounds);
    CHECK_FALSE(state.rate_limits.MaySend({"limited"}, 7, base::Now()));
    CHECK(state.rate_limits.MaySend({"limited"}, 8, base::Now()));

    SUBCASE("and isn't passed on, as the peer tells all others") {
      test.gateway.RunFor(std::chrono::milliseconds(1500));
      CHECK(told.empty());
    }
  }
  SUBCASE("what an answer says is told at once, and repeated") {
    answer({{tests::kRateLimitField, "2"}});
    test.gateway.RunFor(base::Milliseconds(150));
    REQUIRE_FALSE(told.empty());
    CHECK(told.back().per_second == 2);
    test.gateway.RunFor(std::chrono::seconds(3));
    told.clear();
    test.gateway.RunFor(std::chrono::milliseconds(1500));
    CHECK_FALSE(told.empty());

    SUBCASE("as is a withdrawal") {
      answer({});
      test.gateway.RunFor(base::Milliseconds(150));
      const bool is_limited = told.back().__isset.per_second;
      CHECK_FALSE(is_limited);
    }
  }
}

TEST_CASE("gateways tell each other how fast backend servers are") {
  GossipTest test(kWithoutStore);
  GatewayState& state = test.gateway.state;
  core::BackendEntry entry;
  entry.id = {"reader"};
  entry.service = {"models"};
  entry.started_ms = 7;
  state.directory.NoteEntry(entry);
  test.Start();
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [](const std::string&, const base::Address&) {});
  wire::gen::Gossip message = FirstMessage("other", "boot");

  SUBCASE("one that has just started takes over what a peer knows") {
    wire::gen::GossipServiceSpeeds speeds;
    speeds.service_name = "models";
    speeds.prefill_tokens_per_ms = 600;
    speeds.observations = 100;
    message.__set_service_speeds({speeds});
    test.SendToGateway(peer, message);
    test.gateway.RunFor(kFewRounds);
    CHECK(state.speeds.SpeedsOf({"models"}).prefill_tokens_per_ms == 600);
  }
  SUBCASE("what a peer observed counts, of the run that it observed") {
    wire::gen::GossipSpeedObservation observation;
    observation.backend_server = "reader";
    observation.kind = 1;
    observation.load = 6000;
    observation.time_us = 10000;
    for (const int64_t run : {8, 7}) {
      observation.started_ms = run;
      message.__set_speed_observations(
          std::vector<wire::gen::GossipSpeedObservation>(16, observation));
      ++message.stamp;
      test.SendToGateway(peer, message);
      test.gateway.RunFor(kFewRounds);
      const bool known =
          state.speeds.SpeedsOf({"models"}).prefill_tokens_per_ms > 100;
      CHECK(known == (run == 7));
    }
  }
}

// Guards against evidence that stays with one gateway: each request with the
// part may come to another one.
TEST_CASE("gateways tell each other which prompt parts ran during crashes") {
  GossipTest test(kWithoutStore);
  test.Start();
  GatewayState& state = test.gateway.state;
  const core::RequestContent next = {"never seen", {"m/rules", "m/poison"}};
  std::vector<wire::gen::GossipDeath> deaths;
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [&](const std::string& data, const base::Address&) {
                             const auto message = ParseGossip(data);
                             deaths.insert(deaths.end(),
                                           message->deaths.begin(),
                                           message->deaths.end());
                           });
  test.SendToGateway(peer, FirstMessage("peer", "first"));
  test.gateway.RunFor(kFewRounds);

  SUBCASE("by a peer's word a part is quarantined") {
    wire::gen::Gossip message = FirstMessage("peer", "first");
    for (int crash = 0; crash < 3; ++crash) {
      wire::gen::GossipDeath death;
      death.content_digest = "content " + std::to_string(crash);
      death.death_id = "crash " + std::to_string(crash);
      death.age_ms = 1000 * (3 - crash);
      death.__set_parts({"m/rules", "m/poison"});
      message.deaths.push_back(death);
    }
    test.SendToGateway(peer, message);
    test.gateway.RunFor(kFewRounds);
    CHECK(state.poison_requests.QuarantineLeft(next, base::Now()).has_value());

    SUBCASE("and by its word that it was served, served again") {
      wire::gen::Gossip news = FirstMessage("peer", "first");
      for (const std::string& part : next.parts) {
        wire::gen::GossipServedPart served;
        served.part = part;
        news.served_parts.push_back(served);
      }
      news.__isset.served_parts = true;
      test.SendToGateway(peer, news);
      test.gateway.RunFor(kFewRounds);
      CHECK_FALSE(
          state.poison_requests.QuarantineLeft(next, base::Now()).has_value());
    }
  }
  SUBCASE("what ran during a crash is told at once, all of it") {
    constexpr size_t kRunning = 40;
    for (size_t i = 0; i < kRunning; ++i) {
      const std::string number = std::to_string(i);
      state.crash_correlator.NoteBrokenAnswer(
          {"engine"}, {{number},
                       {"content " + number, {"m/" + number}},
                       0,
                       7,
                       base::Now()});
    }
    test.gateway.context.NoteBackendCrash({"engine"}, "refused");
    test.gateway.RunFor(base::Milliseconds(150));
    CHECK_FALSE(deaths.empty());
    // What doesn't fit into one message follows in the next ones.
    test.gateway.RunFor(std::chrono::seconds(1));
    std::set<std::string> parts;
    for (const wire::gen::GossipDeath& death : deaths) {
      parts.insert(death.parts.begin(), death.parts.end());
    }
    CHECK(parts.size() == kRunning);
  }
}

// Guards against a gateway that takes a stamp of its predecessor, from before
// the machine rebooted, for its own: it accepted withdrawn keys while cut off.
TEST_CASE("a peer returns the stamp of an earlier process") {
  GossipTest test(kWithoutStore);
  GatewayState& state = test.gateway.state;
  config::ServingPlan plan;
  plan.version = 3;
  state.ApplyPlan(plan);
  test.Start();
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [](const auto&, const auto&) {});
  test.gateway.RunFor(kFewRounds);
  wire::gen::Gossip message = FirstMessage("peer", "first");
  message.plan_version = 3;
  message.proof_age_ms = 0;
  message.echo = base::ToMilliseconds(base::Now().time_since_epoch());
  const auto accepts_keys = [&] {
    test.SendToGateway(peer, message);
    test.gateway.RunFor(kFewRounds);
    return state.key_freshness.MayAcceptKeys(base::Now());
  };

  SUBCASE("which proves nothing, even if the clock started anew") {
    message.__set_echo_boot("earlier");
    CHECK_FALSE(accepts_keys());
  }
  SUBCASE("without saying whose it is") {
    CHECK_FALSE(accepts_keys());
  }
  SUBCASE("that is ahead of the clock") {
    message.echo += 60000;
    message.__set_echo_boot(state.boot.value);
    CHECK_FALSE(accepts_keys());
  }
  SUBCASE("and then of this one") {
    message.__set_echo_boot(state.boot.value);
    CHECK(accepts_keys());
  }
}

TEST_CASE("a gateway says whose stamp it returns") {
  GossipTest test(kWithoutStore);
  test.Start();
  wire::gen::Gossip received;
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [&](const std::string& data, const base::Address&) {
                             const auto message = ParseGossip(data);
                             if (message->echo > 0) {
                               received = *message;
                             }
                           });
  wire::gen::Gossip message = FirstMessage("peer", "first");
  message.stamp = 7;
  test.SendToGateway(peer, message);
  test.gateway.RunFor(kFewRounds);
  CHECK(received.echo == 7);
  CHECK(received.echo_boot == "first");
}

// Guards against a gateway that never fetches a configuration from a peer again
// after a connection has gone silent.
TEST_CASE("a peer that doesn't send its configuration is asked again") {
  GossipTest test(kWithoutStore);
  test.Start();
  std::vector<std::shared_ptr<net::Exchange>> calls;
  const net::HttpServer server(
      test.gateway.loop, {"127.0.0.1", 0},
      [&](const auto& exchange) { calls.push_back(exchange); });
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", server.port()},
                           [](const auto&, const auto&) {});
  wire::gen::Gossip message = FirstMessage("peer", "first");
  message.plan_version = 3;
  test.SendToGateway(peer, message);
  test.gateway.RunFor(kFewRounds);
  REQUIRE(calls.size() == 1);
  test.gateway.RunFor(std::chrono::milliseconds(1200));
  test.SendToGateway(peer, message);
  test.gateway.RunFor(kFewRounds);
  CHECK(calls.size() == 2);
}

TEST_CASE("no datagram ends a gateway") {
  constexpr size_t kMaxDatagram = 65507;

  SUBCASE("with the number of elements of a list") {
    // Field 1 is a list of any type; then the number of elements as a varint.
    for (const std::string& count :
         {std::string("\xff\xff\xff\xff\x07"), std::string("\xff\xff\x7f"),
          std::string("\xff\xff\xff\xff\x0f"),
          std::string("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01")}) {
      for (int field = 1; field <= 40; ++field) {
        for (int type = 1; type <= 12; ++type) {
          const std::string list{'\x09', static_cast<char>(2 * field),
                                 static_cast<char>(0xf0 | type)};
          const std::string text = list + count;
          CHECK_FALSE(ParseGossip(text).has_value());
          CHECK_FALSE(ParseGossip(text + std::string(kMaxDatagram - text.size(),
                                                     '\x7f'))
                          .has_value());
        }
      }
    }
  }
  SUBCASE("with any bytes") {
    CHECK(rc::check("any bytes are read or refused",
                    [](const std::string& text) { ParseGossip(text); }));
    CHECK(rc::check("a changed message is read or refused", [] {
      std::string text = PrintGossip(FirstMessage("peer", "first"));
      const int changes = *rc::gen::inRange(1, 6);
      for (int i = 0; i < changes; ++i) {
        text[*rc::gen::inRange<size_t>(0, text.size())] =
            *rc::gen::arbitrary<char>();
      }
      ParseGossip(text);
    }));
  }
}

}  // namespace carawayvalve::gateway
