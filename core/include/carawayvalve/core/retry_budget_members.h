#ifndef CARAWAYVALVE_CORE_RETRY_BUDGET_MEMBERS_H_
#define CARAWAYVALVE_CORE_RETRY_BUDGET_MEMBERS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Knows which processes share the slack of the retry budget. A process takes a
// part of it only when it knows the others and they know of it: it has
// registered, and listed all that are registered afterwards. Of two processes
// that register, the later one then lists the earlier one, which hears from it
// or lists it in turn. Nor does it take a part while a window reaches back to
// what was sent without it: by its predecessor of the same name, of which it
// knows nothing, or by processes that didn't count it yet.
class RetryBudgetMembers {
 public:
  struct Settings {
    // The span of time for which the budget holds.
    base::Duration window = std::chrono::seconds(10);
    // Within this time processes list those that have registered.
    base::Duration list_interval = std::chrono::seconds(10);

    bool operator==(const Settings&) const = default;
  };

  RetryBudgetMembers(const Settings& settings,
               base::HostId self,
               base::Instant started)
      : settings(settings), started(started), hosts({std::move(self)}) {}

  // The others can list this process from now on; they could before if an entry
  // of its name was `known_before`.
  void NoteRegistered(bool existed_before, base::Instant now);
  // Takes a complete list, asked for after the registration.
  void NoteListed(const std::set<base::HostId>& listed);
  // A process spoke, whether it is listed or not.
  void NoteSeen(const base::HostId& host) { this->hosts.insert(host); }

  // Whether the others are known.
  bool HasListed() const { return this->listed_all; }
  // Into how many parts the slack is divided; none while this process has no
  // part.
  std::optional<int64_t> SlackDivisor(base::Instant now) const;
  // All that are known to share, this process included.
  int64_t Count() const { return static_cast<int64_t>(this->hosts.size()); }

 private:
  Settings settings;
  base::Instant started;
  // Grows only: one that has gone may have spent its part just before.
  std::set<base::HostId> hosts;
  // None before the registration.
  std::optional<base::Instant> part_from;
  bool listed_all = false;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETRY_BUDGET_MEMBERS_H_
