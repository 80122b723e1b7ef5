#ifndef CARAWAYVALVE_GATEWAY_SRC_PEER_GOSSIP_H_
#define CARAWAYVALVE_GATEWAY_SRC_PEER_GOSSIP_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/net/datagram_socket.h"
#include "carawayvalve/net/http_server.h"
#include "carawayvalve/platform/objects.h"
#include "context.h"
#include "gossip_types.h"
#include "host_registry.h"
#include "store_feed.h"

namespace carawayvalve::gateway {

// Tells the other gateways, in datagrams, what this one has under way, what it
// counted and how fresh its configuration is, and takes theirs into the
// beliefs. Gateways find one another in the store. A configuration that a peer
// has and this one lacks is fetched from that peer.
class PeerGossip {
 public:
  PeerGossip(Context& context,
             platform::ObjectClient& objects,
             StoreFeed& feed);

  void Start();
  // Tells the peers that this gateway ends.
  void Leave();
  // The hosts that were heard lately, and this one.
  std::vector<base::HostId> LiveHosts(base::Instant now) const;
  int64_t heard(base::Instant now) const;

 private:
  struct Peer {
    base::Address address;
    // Not set before the first word.
    base::Instant heard;
    int64_t stamp = 0;
    std::string boot;
  };

  // Logs a change of how many gateways share the slack of the retry budget.
  void NoteSharers();
  void Talk();
  // Tells the peers soon if they would place requests otherwise.
  void OnLoadChanged();
  void TellLoads();
  void Send(const wire::gen::Gossip& gossip);
  void SetWatchWaits();
  void AddDeaths(wire::gen::Gossip& gossip) const;
  std::vector<wire::gen::Gossip> DeathMessages() const;
  wire::gen::Gossip Base() const;
  // A word with all that this gateway has under way; one without loads would
  // say that it is idle.
  wire::gen::Gossip WithLoads() const;
  std::vector<wire::gen::Gossip> WindowMessages(bool all_sources) const;
  void OnDatagram(const std::string& data, const base::Address& sender);
  void TakeLoads(const wire::gen::Gossip& gossip, base::Instant now);
  void TakeProof(const wire::gen::Gossip& gossip, const Peer& peer);
  void FetchPlan(const base::Address& address);
  void OnPlanCall(const net::CallEvent& event);
  void OnCall(const std::shared_ptr<net::Exchange>& exchange);
  base::Duration Interval() const;
  base::Duration NewsInterval() const;

  Context& context;
  HostRegistry registry;
  StoreFeed& feed;
  std::unique_ptr<net::DatagramSocket> datagrams;
  std::unique_ptr<net::HttpServer> server;
  net::HttpClient client;
  std::map<base::HostId, Peer> peers;
  // As it was logged last.
  std::optional<int64_t> told_sharers;
  net::Timer talk_timer;
  net::Timer news_timer;
  int64_t rounds = 0;
  bool newcomer = false;
  core::FleetLoad::Loads told_loads;
  base::Instant loads_told;
  bool news_due = false;
  bool leaving = false;
  // The fetch of a configuration that is under way.
  std::unique_ptr<net::Call> plan_call;
  std::string plan_body;
  int plan_status = 0;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_PEER_GOSSIP_H_
