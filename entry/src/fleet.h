#ifndef CARAWAYVALVE_ENTRY_SRC_FLEET_H_
#define CARAWAYVALVE_ENTRY_SRC_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "agent_link.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/routing.h"
#include "carawayvalve/systems/host_list.h"
#include "carawayvalve_types.h"

namespace carawayvalve::entry {

// The backend server chosen for an attempt.
struct BackendChoice {
  base::BackendServerId backend_server;
  base::BootId agent;
  // The agent's clock, advanced by the time that has passed since the status
  // with that clock was received.
  int64_t agent_clock_us = 0;
  std::string software_version;
};

// The state of one backend server, for the state dump and for role planning.
struct BackendSnapshot {
  base::BackendServerId backend_server;
  std::string address;
  bool host_leaving = false;
  std::optional<wire::gen::AgentStatus> status;
};

// The backend servers that this entry process sends requests to, with a link to
// the agent of each. Safe to call from several threads.
class Fleet {
 public:
  using EventsFor =
      std::function<AgentLinkEvents(const base::BackendServerId&)>;

  Fleet(const base::BootId& entry,
        const core::RoutingSettings& routing,
        EventsFor events_for);

  // Closes every link and waits until no callback runs any more.
  void Close();

  // Opens links to agents that are new in the host list and closes links to
  // agents that are no longer in it.
  void SetHosts(const std::vector<systems::Host>& hosts);
  void SetStatus(const base::BackendServerId& backend_server,
                 const wire::gen::AgentStatus& status);
  // Drops the status of an agent that is unreachable, so that no attempt is
  // routed to it.
  void SetUnreachable(const base::BackendServerId& backend_server);

  void NoteCacheEvents(const base::BackendServerId& backend_server,
                       const wire::gen::CacheEvents& events);

  // Chooses a backend server for an attempt and counts the attempt as in flight
  // there until NoteEnded. Returns the reason if no backend server is ready.
  std::variant<BackendChoice, core::NoBackendReady> Choose(
      const base::AttemptId& attempt,
      const core::RoutingQuery& query);
  void NoteEnded(const base::AttemptId& attempt);
  // Returns how long the request would wait now, or zero if no backend server
  // is ready.
  base::Duration ExpectedWait(const core::RoutingQuery& query);
  // Returns null if the backend server is no longer in the host list.
  std::shared_ptr<AgentLink> FindLink(
      const base::BackendServerId& backend_server) const;
  std::vector<BackendSnapshot> Snapshots() const;

 private:
  struct Member {
    systems::Host host;
    std::shared_ptr<AgentLink> link;
    std::optional<wire::gen::AgentStatus> status;
    base::Instant status_at;
  };

  // Passes the member's status to the router. Requires `mutex` to be held.
  void Update(const Member& member);

  base::BootId entry;
  EventsFor events_for;
  mutable std::mutex mutex;
  bool closed = false;
  std::map<base::BackendServerId, Member> members;
  core::Router router;
  core::Router::Generator generator;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_FLEET_H_
