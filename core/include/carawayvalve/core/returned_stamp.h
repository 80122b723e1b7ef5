#ifndef CARAWAYVALVE_CORE_RETURNED_STAMP_H_
#define CARAWAYVALVE_CORE_RETURNED_STAMP_H_

#include <optional>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// The newest stamp that a peer has received from this host, as it returns it.
struct ReturnedStamp {
  // The run of this host's process that made it; empty if the peer doesn't say.
  base::BootId boot;
  // A reading of that process's clock.
  base::Instant stamp;

  bool operator==(const ReturnedStamp&) const = default;
};

// The run of a process, to which its stamps belong.
struct ProcessRun {
  base::BootId boot;
  base::Instant started;

  bool operator==(const ProcessRun&) const = default;
};

// Returns when this process made the stamp: the peer's message is later.
// Nothing for a stamp of another process, whose clock may have been another
// one, and for one that isn't between the start of this process and now.
std::optional<base::Instant> SentAt(const ReturnedStamp& returned,
                                    const ProcessRun& self,
                                    base::Instant now);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETURNED_STAMP_H_
