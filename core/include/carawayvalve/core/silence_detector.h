#ifndef CARAWAYVALVE_CORE_SILENCE_DETECTOR_H_
#define CARAWAYVALVE_CORE_SILENCE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Detects backend servers that no longer send anything. If a host loses power,
// a process hangs or the network is partitioned, connections stay open and
// nothing else shows the failure. A backend server is silent while one of its
// pending requests has waited for longer than its timeout and nothing was
// received from the backend server on any request meanwhile.
class SilenceDetector {
 public:
  using Ticket = int64_t;

  // Records that a request was sent, of which something should be received
  // within `timeout`. Returns the ticket that identifies it.
  Ticket NoteSent(const base::BackendServerId& id,
                  base::Duration timeout,
                  base::Instant now);
  // Changes the timeout of a pending request, such as when its answer begins.
  void SetTimeout(const base::BackendServerId& id,
                  Ticket ticket,
                  base::Duration timeout);
  // Records that the backend server has brought any of its answers on.
  void NoteReceived(const base::BackendServerId& id, base::Instant now);
  // Records that a request has ended.
  void NoteEnded(const base::BackendServerId& id, Ticket ticket);

  // Returns whether a pending request is over its timeout at `now`.
  bool IsSilent(const base::BackendServerId& id, base::Instant now) const;

 private:
  struct PendingRequest {
    base::Instant sent_at;
    base::Duration timeout{};
  };
  struct Server {
    base::Instant last_received;
    std::map<Ticket, PendingRequest> pending;
  };

  std::unordered_map<base::BackendServerId, Server> servers;
  Ticket last_ticket = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SILENCE_DETECTOR_H_
