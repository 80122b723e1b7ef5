#ifndef CARAWAYVALVE_CORE_DUTY_H_
#define CARAWAYVALVE_CORE_DUTY_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Orders the engines of one service to change role, model or version.
struct RolesDuty {
  base::ServiceId service;

  bool operator==(const RolesDuty&) const = default;
};

// Orders the backend servers of one data centre to be started and stopped.
struct FleetDuty {
  base::DataCentreId data_centre;

  bool operator==(const FleetDuty&) const = default;
};

// Seals and reports the usage of one region.
struct UsageDuty {
  base::RegionId region;

  bool operator==(const UsageDuty&) const = default;
};

// A job that one process does at a time, under a lease.
using Duty = std::variant<RolesDuty, FleetDuty, UsageDuty>;

// Returns the name of the duty's lease object, such as "roles/bench-models".
std::string DutyName(const Duty& duty);

// How many live processes watch one lease; the others make no calls for it.
inline constexpr int kMaxDutyCandidates = 3;

// Ranks `live` by rendezvous hashing: the first is the preferred holder.
// Processes that know the same hosts agree on the order, and a host that comes
// or goes moves no duty between two others.
std::vector<base::HostId> RankHolders(const std::string& duty_name,
                                      std::vector<base::HostId> live);

// Returns the preferred holder, nothing when no host is live.
std::optional<base::HostId> PreferredHolder(
    const std::string& duty_name,
    const std::vector<base::HostId>& live);

// Returns how much longer than the lease asks `self` waits before it takes
// the duty: nothing for the preferred holder and one `candidate_delay` for each
// host ranked before `self`, so that another takes over when the preferred one
// is live but cut off. Empty when `self` is no candidate. Hosts that disagree
// on who is live are harmless: the lease decides.
std::optional<base::Duration> TakeoverDelay(
    const std::string& duty_name,
    const base::HostId& self,
    const std::vector<base::HostId>& live,
    base::Duration candidate_delay);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_DUTY_H_
