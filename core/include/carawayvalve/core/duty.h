#ifndef CARAWAYVALVE_CORE_DUTY_H_
#define CARAWAYVALVE_CORE_DUTY_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// The duty of ordering role, model and version changes at one service's
// engines.
struct RolesDuty {
  base::ServiceId service;

  bool operator==(const RolesDuty&) const = default;
};

// The duty of starting and stopping the backend servers of one data centre.
struct FleetDuty {
  base::DataCentreId data_centre;

  bool operator==(const FleetDuty&) const = default;
};

// The duty of sealing and reporting the usage of one region.
struct UsageDuty {
  base::RegionId region;

  bool operator==(const UsageDuty&) const = default;
};

// A job that one process at a time does, under a lease.
using Duty = std::variant<RolesDuty, FleetDuty, UsageDuty>;

// Returns the name of the duty's lease object, such as "roles/bench-models".
std::string DutyName(const Duty& duty);

// How many live processes compete for one lease; all other processes make no
// calls for it.
inline constexpr int kMaxDutyCandidates = 3;

// Ranks `live` by rendezvous hashing, the preferred holder first. Processes
// that know the same hosts agree on the order, and a host that joins or leaves
// moves no duty between two other hosts.
std::vector<base::HostId> RankHolders(const std::string& duty_name,
                                      std::vector<base::HostId> live);

// Returns the preferred holder, or nullopt when no host is live.
std::optional<base::HostId> PreferredHolder(
    const std::string& duty_name,
    const std::vector<base::HostId>& live);

// Returns how long `self` waits, beyond the lease's own term, before it takes
// the duty: zero for the preferred holder and one `candidate_delay` more for
// each host ranked before `self`, so that another host takes over when the
// preferred one is live but cut off from the store. Returns nullopt when `self`
// isn't a candidate. Hosts may disagree on which hosts are live, because the
// lease alone decides who holds the duty.
std::optional<base::Duration> TakeoverDelay(
    const std::string& duty_name,
    const base::HostId& self,
    const std::vector<base::HostId>& live,
    base::Duration candidate_delay);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_DUTY_H_
