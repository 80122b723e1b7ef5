#ifndef CARAWAYVALVE_CORE_CONFIGURATION_RELAY_H_
#define CARAWAYVALVE_CORE_CONFIGURATION_RELAY_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::core {

// A live entry process in the host list.
struct EntryHost {
  base::HostId host;
  base::DataCentreId data_centre;

  auto operator<=>(const EntryHost&) const = default;
};

// Number of entry processes per data centre that watch the store. The store
// counts every pending watch; more watchers cost calls, not safety.
constexpr size_t kWatchersPerDataCentre = 2;

// Returns the entry processes of a data centre that watch the store. Processes
// with the same host list choose the same ones, and a host that joins or leaves
// changes at most one of them.
std::set<base::HostId> ChooseWatchers(const std::vector<EntryHost>& hosts,
                                      const base::DataCentreId& data_centre);

// Returns the processes from which `self` can read the configuration if it
// doesn't watch the store, the preferred first: the watchers of its data
// centre, the other processes there, then those of other data centres. The
// order within each group differs per reading process, to spread the load.
std::vector<base::HostId> OrderSources(const std::vector<EntryHost>& hosts,
                                       const EntryHost& self);

// Returns at most `max_peers` entry processes whose status `self` follows. They
// are taken evenly from all data centres, so that a process in a data centre
// that is cut off doesn't reach a majority of them.
std::vector<base::HostId> ChoosePeers(const std::vector<EntryHost>& hosts,
                                      const EntryHost& self,
                                      size_t max_peers);

// The outcome of offering a configuration.
enum class OfferResult {
  kApplied,
  kNotNewer,
  // A different configuration with the same generation is in force. At most one
  // of the two has ever been accepted.
  kConflict,
};

// Holds the configuration in force at one process. Its generation never
// decreases, whatever is offered.
class CurrentConfiguration {
 public:
  explicit CurrentConfiguration(const config::Configuration& initial);

  // Puts `configuration` in force if its generation is higher.
  OfferResult Offer(const config::Configuration& configuration);

  const config::Configuration& current() const { return this->in_force; }
  int64_t generation() const { return this->in_force.generation; }

 private:
  config::Configuration in_force;
};

// Decides when a starting process has a recent enough configuration to serve:
// once the store or a majority of its peers has answered.
class StartupCheck {
 public:
  void NoteStoreAnswer();
  void NotePeerAnswer(const base::HostId& peer);

  // Returns whether the process may serve. `peers` are the current ones, and
  // `generation` is that of the configuration in force, 0 if there is none.
  bool IsReady(const std::vector<base::HostId>& peers,
               int64_t generation) const;

 private:
  bool store_answered = false;
  std::set<base::HostId> answered_peers;
};

// Returns whether `count` is more than half of `total`; false if `total` is 0.
bool IsMajority(size_t count, size_t total);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CONFIGURATION_RELAY_H_
