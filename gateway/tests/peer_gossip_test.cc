#include "peer_gossip.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "carawayvalve/base/error.h"
#include "gossip_format.h"
#include "platform/store.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kPeers = 28;
constexpr int kAccounts = 84;
// A tenth of the slowest link of the users' gateways, 10 Mbit/s.
constexpr int64_t kMostBytesPerSecond = 125000;
constexpr std::chrono::seconds kLength(4);
// A few rounds of words.
constexpr base::Milliseconds kSoon(300);

GatewaySettings Settings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.listen.peers = {"127.0.0.1", 0};
  // Nothing listens there: gateways know one another by their words.
  settings.store.address = {"127.0.0.1", 1};
  return settings;
}

// Listens for datagrams and connections at one port, below those that the
// system gives to outgoing connections of other tests.
void StartAtFreePort(PeerGossip& gossip, uint16_t& port) {
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 12000;
  for (int i = 0; i < kPorts; ++i) {
    port = static_cast<uint16_t>(kFirstPort + (getpid() * 64 + i) % kPorts);
    try {
      gossip.Start();
      return;
    } catch (const base::Error&) {
      // Another process has the port.
    }
  }
}

constexpr bool kWithStore = true;
constexpr bool kWithoutStore = false;

// The gossip of one gateway, with a store or none that it reaches.
struct GossipTest {
  explicit GossipTest(bool with_store)
      : objects(gateway.loop,
                with_store ? base::ParseAddress(store.address())
                           : gateway.beliefs.settings.store.address,
                base::Milliseconds(500)) {}

  void Start() {
    StartAtFreePort(this->gossip,
                    this->gateway.beliefs.settings.listen.peers.port);
  }
  // Speaks to the gateway as a peer does.
  void Hear(net::DatagramSocket& peer, const wire::gen::Gossip& word) {
    peer.Send(PrintGossip(word), this->gateway.beliefs.settings.listen.peers);
  }

  TestGateway gateway{Settings()};
  tests::Store store{gateway.loop};
  platform::ObjectClient objects;
  StoreFeed feed{gateway.context, objects};
  PeerGossip gossip{gateway.context, objects, feed};
};

// A first word of a peer.
wire::gen::Gossip Hello(const std::string& host, const std::string& boot) {
  wire::gen::Gossip hello;
  hello.host = host;
  hello.boot = boot;
  return hello;
}

}  // namespace

// All of a grown fleet's gateways have counted in the present windows, and some
// start anew.
TEST_CASE("words to peers leave the links to the callers") {
  TestGateway gateway(Settings());
  net::EventLoop& loop = gateway.loop;
  Beliefs& beliefs = gateway.beliefs;
  platform::ObjectClient objects(loop, {"127.0.0.1", 1},
                                 base::Milliseconds(100));
  StoreFeed feed(gateway.context, objects);
  const int64_t window = beliefs.true_time.At(base::Now()) /
                         base::Duration(beliefs.settings.duties.usage_window);
  for (int source = 0; source < kPeers; ++source) {
    core::WindowCountsPart part{window, {"boot" + std::to_string(source)}, {}};
    for (int account = 0; account < kAccounts; ++account) {
      part.counts[{"account" + std::to_string(account)}] = 7;
    }
    beliefs.usage.Merge(part);
  }
  for (int account = 0; account < kAccounts; ++account) {
    beliefs.usage.Count(beliefs.boot, window,
                        {"account" + std::to_string(account)});
  }
  PeerGossip gossip(gateway.context, objects, feed);
  StartAtFreePort(gossip, beliefs.settings.listen.peers.port);
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
    peers.back()->Send(PrintGossip(hello), beliefs.settings.listen.peers);
  }
  gateway.RunFor(kLength);
  CHECK(bytes > 0);
  CHECK(bytes <= kMostBytesPerSecond * kLength.count());
}

// Gateways that start together list one another before all have registered.
TEST_CASE("the slack is divided by a gateway that is heard, not listed") {
  GossipTest test(kWithStore);
  test.Start();
  test.gateway.RunFor(kSoon);
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [](const auto&, const auto&) {});
  test.Hear(peer, Hello("peer", "first"));
  test.gateway.RunFor(kSoon);
  CHECK(test.gateway.beliefs.sharers.Count() == 2);
}

TEST_CASE("a new gateway is new though its registration was not answered") {
  GossipTest test(kWithStore);
  test.store.lost_writes = 1;
  test.Start();
  test.gateway.RunFor(std::chrono::seconds(1));
  const core::RetryBudgetMembers& sharers = test.gateway.beliefs.sharers;
  REQUIRE(sharers.HasListed());
  // Others may list it only an interval later, and spend by that until then.
  const core::RetryBudgetMembers::Settings settings;
  CHECK_FALSE(sharers.SlackDivisor(base::Now() + settings.window).has_value());
}

// A request that crashed backend servers comes again at a gateway that has been
// killed meanwhile.
TEST_CASE(
    "a gateway that starts again soon refuses what others know to crash") {
  GossipTest test(kWithoutStore);
  core::PoisonRequestTracker& suspects = test.gateway.beliefs.suspects;
  const base::Instant long_ago = base::Now() - std::chrono::seconds(60);
  suspects.NoteCrash("content", "first", long_ago);
  suspects.NoteCrash("content", "second", long_ago);
  test.Start();
  size_t told = 0;
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [&](const std::string& data, const base::Address&) {
                             told += ParseGossip(data)->deaths.size();
                           });
  test.Hear(peer, Hello("peer", "second"));
  test.gateway.RunFor(kSoon);
  CHECK(told == 2);
}

TEST_CASE("gateways avoid an engine that another one has ordered away") {
  GossipTest test(kWithoutStore);
  test.Start();
  Beliefs& beliefs = test.gateway.beliefs;
  int64_t told_ms = 0;
  net::DatagramSocket peer(test.gateway.loop, {"127.0.0.1", 0},
                           [&](const std::string& data, const base::Address&) {
                             const auto word = ParseGossip(data);
                             if (!word->absences.empty()) {
                               told_ms = word->absences.front().left_ms;
                             }
                           });
  wire::gen::GossipAbsence absence;
  absence.backend_server = "ordered-there";
  absence.left_ms = 4000;
  wire::gen::Gossip hello = Hello("peer", "first");
  hello.__set_absences({absence});
  test.Hear(peer, hello);
  beliefs.changing_roles[{"ordered-here"}] =
      base::Now() + std::chrono::seconds(4);
  test.gateway.RunFor(kSoon);

  CHECK_FALSE(beliefs.health.Usable({"ordered-there"}, 0, base::Now()));
  CHECK(told_ms > 0);
  CHECK(told_ms <= 4000);
}

}  // namespace carawayvalve::gateway
