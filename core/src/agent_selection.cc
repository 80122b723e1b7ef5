#include "carawayvalve/core/agent_selection.h"

#include <algorithm>
#include <map>

namespace carawayvalve::core {

std::set<base::HostId> ChooseAgents(const std::vector<BackendHost>& hosts,
                                    const base::HostId& entry,
                                    const base::DataCentreId& data_centre,
                                    size_t max_remote) {
  std::set<base::HostId> chosen;
  std::map<base::ServiceId, std::vector<base::HostId>> remote;
  for (const BackendHost& host : hosts) {
    if (host.data_centre == data_centre) {
      chosen.insert(host.host);
    } else {
      remote[host.service].push_back(host.host);
    }
  }
  const auto rank = [&](const base::HostId& host) {
    return base::StableHash(entry.value + "/" + host.value);
  };
  size_t rounds = 0;
  for (auto& [service, ranked] : remote) {
    std::sort(ranked.begin(), ranked.end(),
              [&](const base::HostId& left, const base::HostId& right) {
                return rank(left) < rank(right);
              });
    rounds = std::max(rounds, ranked.size());
  }
  for (size_t round = 0; round < rounds; ++round) {
    for (const auto& [service, ranked] : remote) {
      if (max_remote > 0 && round < ranked.size()) {
        chosen.insert(ranked[round]);
        max_remote -= 1;
      }
    }
  }
  return chosen;
}

}  // namespace carawayvalve::core
