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

// Tracks the processes that share the slack of the retry budget. A process uses
// a part of the slack only once it knows the other processes and they know it:
// it must have registered and afterwards listed all registered processes. Of
// two processes that register, the later one thus lists the earlier one, and
// the earlier one learns of the later one by gossip or by its next list. A
// process also waits until the window holds no slack spent without counting it:
// by a previous process of its own name, whose spending it doesn't know, or by
// processes that didn't yet know of it.
class RetryBudgetMembers {
 public:
  struct Settings {
    // Span of time for which the budget holds.
    base::Duration window = std::chrono::seconds(10);
    // Longest time between two lists of the registered processes.
    base::Duration list_interval = std::chrono::seconds(10);

    bool operator==(const Settings&) const = default;
  };

  RetryBudgetMembers(const Settings& settings,
                     base::HostId self,
                     base::Instant started)
      : settings(settings), started(started), members({std::move(self)}) {}

  // Records that other processes can list this one from now on. If an entry of
  // its name `existed_before`, they could already do so when it started.
  void NoteRegistered(bool existed_before, base::Instant now);
  // Adds the processes of a complete list. It must have been requested after
  // the registration to count.
  void NoteListed(const std::set<base::HostId>& listed);
  // Adds a process that sent a message, whether it is listed or not.
  void NoteSeen(const base::HostId& host) { this->members.insert(host); }

  // Records that a process has said that it counts this run of this one.
  void NoteCountedBy(const base::HostId& host) {
    this->counted_by.insert(host);
  }

  bool IsCountedBy(const base::HostId& host) const {
    return this->counted_by.contains(host);
  }

  // Returns whether a list was received since the registration.
  bool HasListed() const { return this->listed_all; }
  // Returns the number of processes that share the slack, nothing while this
  // process may not use any of it.
  std::optional<int64_t> SlackDivisor(base::Instant now) const;
  // Returns the number of processes among which a rate is divided; nothing
  // while this process may not use any of it, since others may not yet count
  // it. That ends when each has said that it does, or after the time in which
  // each lists all others. Unlike the slack, a rate needs no further wait: what
  // a previous process of the same name used was its own part.
  std::optional<int64_t> RateDivisor(base::Instant now) const;
  // Returns the number of known processes, including this one.
  int64_t Count() const { return static_cast<int64_t>(this->members.size()); }

 private:
  Settings settings;
  base::Instant started;
  // Never shrinks: a process that stopped may have spent its part just before.
  std::set<base::HostId> members;
  std::set<base::HostId> counted_by;
  // When all others have listed this process; none before the registration.
  std::optional<base::Instant> listed_by_all;
  // When this process may use slack; none before the registration.
  std::optional<base::Instant> slack_from;
  bool listed_all = false;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETRY_BUDGET_MEMBERS_H_
