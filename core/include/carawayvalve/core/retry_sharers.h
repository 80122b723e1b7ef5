#ifndef CARAWAYVALVE_CORE_RETRY_SHARERS_H_
#define CARAWAYVALVE_CORE_RETRY_SHARERS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::core {

// Knows which processes share the slack of the retry budget. A process takes a
// part of it only when it knows the others and they can know of it: it has
// registered, and listed all that are registered afterwards. Of two processes
// that register, the later one then lists the earlier one, which hears from it.
class RetrySharers {
 public:
  explicit RetrySharers(base::HostId self) : hosts({std::move(self)}) {}

  // The others can list this process from now on.
  void NoteRegistered() { this->registered = true; }
  // Takes a complete list, asked for after the registration.
  void NoteListed(const std::set<base::HostId>& listed);
  // A process spoke, whether it is listed or not.
  void NoteHeard(const base::HostId& host) { this->hosts.insert(host); }

  // Into how many parts the slack is divided; none while that isn't known and
  // this process has no part.
  std::optional<int64_t> Parts() const;
  // All that are known to share, this process included.
  int64_t known() const { return static_cast<int64_t>(this->hosts.size()); }

 private:
  // Grows only: one that has gone may have spent its part just before.
  std::set<base::HostId> hosts;
  bool registered = false;
  bool listed_all = false;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETRY_SHARERS_H_
