#ifndef CARAWAYVALVE_CORE_SILENCE_DETECTOR_H_
#define CARAWAYVALVE_CORE_SILENCE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <unordered_map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Notices backend servers that have fallen silent: ones that are dark, hang or
// are cut off keep their connections open, and nothing else tells. A backend
// server is silent while a request at it has waited for longer than its
// patience and nothing at all came from there meanwhile.
class SilenceDetector {
 public:
  using Ticket = int64_t;

  // A request was sent; something should come within `patience`.
  Ticket NoteSent(const base::BackendServerId& id,
                  base::Duration timeout,
                  base::Instant now);
  // From here on something should come every `patience`.
  void SetTimeout(const base::BackendServerId& id,
                   Ticket ticket,
                   base::Duration timeout);
  // Anything came from there.
  void NoteReceived(const base::BackendServerId& id, base::Instant now);
  void NoteEnded(const base::BackendServerId& id, Ticket ticket);

  bool IsSilent(const base::BackendServerId& id, base::Instant now) const;

 private:
  struct Waiting {
    base::Instant since;
    base::Duration timeout{};
  };
  struct Server {
    base::Instant heard;
    std::map<Ticket, Waiting> waiting;
  };

  std::unordered_map<base::BackendServerId, Server> servers;
  Ticket last_ticket = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SILENCE_DETECTOR_H_
