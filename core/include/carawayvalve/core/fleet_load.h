#ifndef CARAWAYVALVE_CORE_FLEET_LOAD_H_
#define CARAWAYVALVE_CORE_FLEET_LOAD_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Work in flight at one backend server.
struct BackendLoad {
  int64_t requests = 0;
  // Prompt tokens that are still to be prefilled.
  int64_t unread_tokens = 0;
  // KV cache that its requests occupy, in tokens.
  int64_t kv_tokens = 0;

  bool operator==(const BackendLoad&) const = default;
};

BackendLoad operator+(const BackendLoad& a, const BackendLoad& b);

// Work in flight at each backend server: sent by this process, or reported by
// its peers.
class FleetLoad {
 public:
  using Loads = std::map<base::BackendServerId, BackendLoad>;
  using Ticket = int64_t;

  // Records that a request was sent. Returns the ticket for the calls below.
  Ticket NoteSent(const base::BackendServerId& id, const BackendLoad& work);
  // Records that the prompt of the request was prefilled.
  void NotePrefilled(Ticket ticket);
  void NoteEnded(Ticket ticket);

  // Replaces the load that the peer reported before.
  void NotePeer(const base::HostId& peer,
                const Loads& loads,
                base::Instant now);

  BackendLoad LoadOf(const base::BackendServerId& id, base::Instant now) const;
  // Returns the number of requests in flight from this process alone.
  int64_t OwnRequests(const base::BackendServerId& id) const;
  // Returns how long ago, on average, the peers with requests in flight have
  // reported them.
  base::Duration ReportAge(base::Instant now) const;
  // Load sent by this process, to be reported to its peers.
  const Loads& own() const { return this->own_loads; }

 private:
  struct SentRequest {
    base::BackendServerId id;
    BackendLoad work;
  };
  struct Peer {
    Loads loads;
    base::Instant received;
  };

  Loads own_loads;
  std::unordered_map<Ticket, SentRequest> sent;
  std::map<base::HostId, Peer> peers;
  Ticket last_ticket = 0;
};

// Returns whether peers that know the `announced` loads would place requests
// differently if they knew the `current` ones: an engine has a prompt more or
// less to prefill, or a plain service has a request more or less to answer.
// Prompts that are prefilled in negligible time don't count, nor do streams
// whose prompt was prefilled.
bool AffectsPlacement(const FleetLoad::Loads& announced,
                      const FleetLoad::Loads& current);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_FLEET_LOAD_H_
