#ifndef CARAWAYVALVE_GATEWAY_SRC_PEER_GOSSIP_H_
#define CARAWAYVALVE_GATEWAY_SRC_PEER_GOSSIP_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "account_rate_gossip.h"
#include "carawayvalve/net/datagram_socket.h"
#include "carawayvalve/net/http_server.h"
#include "carawayvalve/platform/objects.h"
#include "context.h"
#include "crash_gossip.h"
#include "gossip_types.h"
#include "host_registry.h"
#include "origin_gossip.h"
#include "plan_relay.h"
#include "rate_limit_gossip.h"
#include "registry_relay.h"
#include "speed_gossip.h"
#include "store_feed.h"
#include "usage_gossip.h"

namespace carawayvalve::gateway {

// Exchanges gossip with the other gateways in datagrams: the loads that each
// has placed on backend servers, its usage counts and how fresh its
// configuration is. Merges the messages of peers into the state. Gateways find
// each other in the store.
class PeerGossip {
 public:
  PeerGossip(Context& context,
             platform::ObjectClient& objects,
             StoreFeed& feed);

  // Opens the ports for peers' datagrams and calls. Throws base::ListenError
  // when it can't.
  void Listen();
  // Registers this gateway and begins to send. Follows Listen.
  void Start();
  // Tells the peers that this gateway stops.
  void Leave();
  // Returns the hosts of the live peers, and this one.
  std::vector<base::HostId> LiveHosts(base::Instant now) const;
  // Returns the number of live peers.
  int64_t live_peers(base::Instant now) const;

 private:
  struct Peer {
    base::Address address;
    // The epoch of the clock before the first message.
    base::Instant last_received;
    int64_t stamp = 0;
    std::string boot;
    bool reports_usage = false;
  };

  // Logs changes in the number of gateways that share the slack of the retry
  // budget.
  void LogSlackDivisor();
  void RunRound();
  // Schedules an update if the change affects how peers place requests.
  void OnLoadChanged();
  // Schedules an update, at the minimum interval between two.
  void ScheduleUpdate(base::Duration interval);
  void SendLoads();
  void Send(const wire::gen::Gossip& gossip);
  void SendAccountRates(const base::HostId& host,
                        const wire::gen::GossipAccountRates& rates);
  // Sends the load message, to each peer with the origins of streams that it is
  // to keep.
  void SendWithOrigins(const wire::gen::Gossip& gossip);
  void AskForOrigin(const OriginQuestion& question);
  void AnswerOrigins(const wire::gen::Gossip& question,
                     const base::Address& sender);
  void SetWatchWaits();
  void AddDepartures(wire::gen::Gossip& gossip) const;
  wire::gen::Gossip BaseMessage() const;
  // Returns a message with all loads of this gateway. Peers take a message
  // without loads to mean that this gateway is idle.
  wire::gen::Gossip LoadMessage() const;
  // Tells peers that have just started, and now and then all, what this one has
  // counted.
  void SendUsage();
  // Tells the gateway that reports usage, and its next successors, what this
  // one has counted lately.
  void SendUsageChanges();
  // Sends a gateway that has just started what only its peers know.
  void SendBootstrap(const base::Address& address);
  void OnDatagram(const std::string& data, const base::Address& sender);
  void ApplyLoads(const wire::gen::Gossip& gossip, base::Instant now);
  void ApplyDepartures(const wire::gen::Gossip& gossip, base::Instant now);
  void OnCall(const std::shared_ptr<net::Exchange>& exchange);
  base::Duration RoundInterval() const;
  base::Duration UpdateInterval() const;

  Context& context;
  HostRegistry registry;
  StoreFeed& feed;
  std::unique_ptr<net::DatagramSocket> datagrams;
  std::unique_ptr<net::HttpServer> server;
  std::map<base::HostId, Peer> peers;
  // The value that was logged last.
  std::optional<int64_t> logged_slack_divisor;
  net::Timer round_timer;
  net::Timer update_timer;
  int64_t rounds = 0;
  base::Instant usage_sent_at;
  CrashGossip crash_gossip;
  RateLimitGossip rate_limit_gossip;
  OriginGossip origin_gossip;
  SpeedGossip speed_gossip;
  UsageGossip usage_gossip;
  RegistryRelay registry_relay;
  PlanRelay plan_relay;
  AccountRateGossip account_rate_gossip;
  // Peers that have started since the last round.
  std::set<base::HostId> new_peers;
  core::FleetLoad::Loads sent_loads;
  base::Instant loads_sent_at;
  bool update_scheduled = false;
  bool leaving = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_PEER_GOSSIP_H_
