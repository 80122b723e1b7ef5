#ifndef CARAWAYVALVE_CORE_AGENT_SELECTION_H_
#define CARAWAYVALVE_CORE_AGENT_SELECTION_H_

#include <cstddef>
#include <set>
#include <vector>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::core {

// An entry of the host list that has a backend server.
struct BackendHost {
  base::HostId host;
  base::DataCentreId data_centre;
  base::ServiceId service;

  auto operator<=>(const BackendHost&) const = default;
};

// Limits an entry process's links to agents of other data centres, so that its
// cost doesn't grow with the fleet.
constexpr size_t kMaxRemoteAgents = 64;

// Returns the hosts whose agents an entry process keeps links to: all of its
// own data centre and at most `max_remote` of the others. The remote links are
// assigned round-robin over the services. Each service's hosts are ranked
// differently per entry host, so that all entry hosts together reach every
// backend server.
std::set<base::HostId> ChooseAgents(const std::vector<BackendHost>& hosts,
                                    const base::HostId& entry,
                                    const base::DataCentreId& data_centre,
                                    size_t max_remote = kMaxRemoteAgents);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_AGENT_SELECTION_H_
