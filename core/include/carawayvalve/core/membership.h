#ifndef CARAWAYVALVE_CORE_MEMBERSHIP_H_
#define CARAWAYVALVE_CORE_MEMBERSHIP_H_

#include <cstddef>
#include <set>
#include <vector>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::core {

// A host with a backend server, as the host list tells of it.
struct BackendHost {
  base::HostId host;
  base::DataCentreId data_centre;
  base::ServiceId service;

  auto operator<=>(const BackendHost&) const = default;
};

// An entry process keeps links to this many agents of other data centres at
// the most, so that its cost doesn't follow the whole fleet.
constexpr size_t kMaxRemoteAgents = 64;

// Returns the hosts whose agents an entry process keeps links to: all of its
// own data centre, and at most `most_remote` of the others. The remote places
// go round the services, and each service's hosts are taken in an order that
// differs between entry hosts, so that all together reach every backend server.
std::set<base::HostId> ChooseAgents(const std::vector<BackendHost>& hosts,
                                    const base::HostId& entry,
                                    const base::DataCentreId& data_centre,
                                    size_t max_remote = kMaxRemoteAgents);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_MEMBERSHIP_H_
