#ifndef CARAWAYVALVE_CORE_RATE_LIMIT_MEMBERS_H_
#define CARAWAYVALVE_CORE_RATE_LIMIT_MEMBERS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// What a reading of the platform's list says of the processes that may run.
struct ListedProcesses {
  // All that the list names, those that leave too.
  std::set<base::HostId> named;
  // Those that don't leave.
  std::set<base::HostId> staying;

  bool operator==(const ListedProcesses&) const = default;
};

// Tells a process among how many a rate limit is divided, if all of them read
// the same list of processes again and again.
//
// A process earns nothing until all others count it: each has said so, or has
// had time to read the list. It counts each process that the list names, or
// that has called it, and counts it on for some time after the list has dropped
// it: that one may not have noticed yet. Once it reads that it isn't named
// itself, or leaves, it earns nothing.
class RateLimitMembers {
 public:
  struct Settings {
    // Time within which each process reads the list, if it can.
    base::Duration list_time = std::chrono::seconds(10);
    // For how long a process that the list has dropped still counts.
    base::Duration keep_time = std::chrono::seconds(60);

    bool operator==(const Settings&) const = default;
  };

  RateLimitMembers(const Settings& settings, base::HostId self)
      : settings(settings), self(std::move(self)) {}

  void NoteListed(const ListedProcesses& listed, base::Instant now);
  // Counts a process that has called this one, whether it is listed or not.
  void NoteSeen(const base::HostId& host, base::Instant now);
  // Records that a process has said that it counts this one.
  void NoteCountedBy(const base::HostId& host);

  // Returns the number of processes that divide a rate; nothing while this one
  // earns nothing.
  std::optional<int64_t> Divisor(base::Instant now) const;
  // Returns the listed processes that haven't said that they count this one;
  // none if this one isn't listed.
  std::vector<base::HostId> Uncounted() const;
  // Returns the other processes that stay.
  const std::set<base::HostId>& staying() const { return this->others; }

 private:
  Settings settings;
  base::HostId self;
  // When this process was first listed; nothing while it isn't.
  std::optional<base::Instant> listed_since;
  std::set<base::HostId> others;
  // The others that count, with the time of their last sign.
  std::map<base::HostId, base::Instant> members;
  std::set<base::HostId> counted_by;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RATE_LIMIT_MEMBERS_H_
