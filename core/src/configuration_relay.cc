#include "carawayvalve/core/configuration_relay.h"

#include <algorithm>
#include <map>
#include <utility>

namespace carawayvalve::core {

namespace {

// Sorts hosts by rendezvous hashing with `purpose` as the salt. The relative
// order of two hosts doesn't depend on the other hosts.
std::vector<EntryHost> Rank(std::vector<EntryHost> hosts,
                            const std::string& purpose) {
  const auto score = [&](const EntryHost& host) {
    return std::pair(base::StableHash(purpose + "/" + host.host.value),
                     host.host);
  };
  std::sort(hosts.begin(), hosts.end(),
            [&](const EntryHost& one, const EntryHost& other) {
              return score(one) > score(other);
            });
  return hosts;
}

}  // namespace

std::set<base::HostId> ChooseWatchers(const std::vector<EntryHost>& hosts,
                                      const base::DataCentreId& data_centre) {
  std::set<base::HostId> watchers;
  for (const EntryHost& host : Rank(hosts, "watch/" + data_centre.value)) {
    if (host.data_centre == data_centre &&
        watchers.size() < kWatchersPerDataCentre) {
      watchers.insert(host.host);
    }
  }
  return watchers;
}

std::vector<base::HostId> OrderSources(const std::vector<EntryHost>& hosts,
                                       const EntryHost& self) {
  const std::set<base::HostId> watchers =
      ChooseWatchers(hosts, self.data_centre);
  const auto distance = [&](const EntryHost& host) {
    if (host.data_centre != self.data_centre) {
      return 2;
    }
    return watchers.contains(host.host) ? 0 : 1;
  };
  std::vector<EntryHost> ranked = Rank(hosts, "source/" + self.host.value);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&](const EntryHost& one, const EntryHost& other) {
                     return distance(one) < distance(other);
                   });
  std::vector<base::HostId> sources;
  for (const EntryHost& host : ranked) {
    if (host.host != self.host) {
      sources.push_back(host.host);
    }
  }
  return sources;
}

std::vector<base::HostId> ChoosePeers(const std::vector<EntryHost>& hosts,
                                      const EntryHost& self,
                                      size_t max_peers) {
  std::map<base::DataCentreId, std::vector<base::HostId>> by_data_centre;
  for (const EntryHost& host : Rank(hosts, "peer/" + self.host.value)) {
    if (host.host != self.host) {
      by_data_centre[host.data_centre].push_back(host.host);
    }
  }
  std::vector<base::HostId> peers;
  bool more = true;
  for (size_t round = 0; more; ++round) {
    more = false;
    for (const auto& [data_centre, ranked] : by_data_centre) {
      if (round < ranked.size() && peers.size() < max_peers) {
        peers.push_back(ranked[round]);
        more = true;
      }
    }
  }
  return peers;
}

CurrentConfiguration::CurrentConfiguration(const config::Configuration& initial)
    : in_force(initial) {}

OfferResult CurrentConfiguration::Offer(
    const config::Configuration& configuration) {
  if (configuration.generation > this->in_force.generation) {
    this->in_force = configuration;
    return OfferResult::kApplied;
  }
  if (configuration.generation == this->in_force.generation &&
      configuration != this->in_force) {
    return OfferResult::kConflict;
  }
  return OfferResult::kNotNewer;
}

void StartupCheck::NoteStoreAnswer() {
  this->store_answered = true;
}

void StartupCheck::NotePeerAnswer(const base::HostId& peer) {
  this->answered_peers.insert(peer);
}

bool StartupCheck::IsReady(const std::vector<base::HostId>& peers,
                           int64_t generation) const {
  if (generation == 0) {
    return false;
  }
  const auto answers =
      std::count_if(peers.begin(), peers.end(), [&](const base::HostId& peer) {
        return this->answered_peers.contains(peer);
      });
  return this->store_answered ||
         IsMajority(static_cast<size_t>(answers), peers.size());
}

bool IsMajority(size_t count, size_t total) {
  return 2 * count > total;
}

}  // namespace carawayvalve::core
