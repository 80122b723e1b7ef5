#ifndef CARAWAYVALVE_CORE_FLEET_LOAD_H_
#define CARAWAYVALVE_CORE_FLEET_LOAD_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Work that is under way at one backend server.
struct BackendLoad {
  int64_t requests = 0;
  // Prompt tokens that it still has to read.
  int64_t unread_tokens = 0;
  // KV cache that its requests take up, in tokens.
  int64_t kv_tokens = 0;

  bool operator==(const BackendLoad&) const = default;
};

BackendLoad operator+(const BackendLoad& a, const BackendLoad& b);

// The work under way at each backend server: what this process sent there and
// what its peers say that they sent.
class FleetLoad {
 public:
  using Loads = std::map<base::BackendServerId, BackendLoad>;
  using Ticket = int64_t;

  // A request was sent. Returns what its end is received with.
  Ticket NoteSent(const base::BackendServerId& id, const BackendLoad& work);
  // Its prompt was read.
  void NotePrefilled(Ticket ticket);
  void NoteEnded(Ticket ticket);

  // Replaces what the peer said before.
  void NotePeer(const base::HostId& peer,
                const Loads& loads,
                base::Instant now);

  BackendLoad LoadOf(const base::BackendServerId& id, base::Instant now) const;
  // Requests of this process alone.
  int64_t OwnRequests(const base::BackendServerId& id) const;
  // What this process sent, for its peers.
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

// Whether peers that know `announced` would place requests otherwise if they knew
// `current`: an engine has a prompt more or less to read, or a plain service a
// request more or less to answer. Prompts whose reading goes unnoticed don't
// count, nor do streams whose prompt was read.
bool AffectsPlacement(const FleetLoad::Loads& announced,
                      const FleetLoad::Loads& current);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_FLEET_LOAD_H_
