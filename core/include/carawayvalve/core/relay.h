#ifndef CARAWAYVALVE_CORE_RELAY_H_
#define CARAWAYVALVE_CORE_RELAY_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::core {

// A live entry process, as the host list tells of it.
struct EntryHost {
  base::HostId host;
  base::DataCentreId data_centre;

  auto operator<=>(const EntryHost&) const = default;
};

// How many entry processes of a data centre watch the store. The store counts
// every waiting watch; too many watchers cost calls, not safety.
constexpr size_t kWatchersPerDataCentre = 2;

// Returns the entry processes of a data centre that watch the store. Every
// process with the same host list names the same ones, and a host that comes or
// goes changes at most one of them.
std::set<base::HostId> ChooseWatchers(const std::vector<EntryHost>& hosts,
                                      const base::DataCentreId& data_centre);

// Returns whom a process that doesn't watch the store asks for the
// configuration, the best first: the watchers of its data centre, its other
// processes, then those of other data centres, each spread over the askers.
std::vector<base::HostId> OrderSources(const std::vector<EntryHost>& hosts,
                                       const EntryHost& self);

// Returns the other entry processes whose status this one follows, at most
// `most`: taken evenly from all data centres, so that a cut-off data centre
// doesn't hear most of them.
std::vector<base::HostId> ChoosePeers(const std::vector<EntryHost>& hosts,
                                      const EntryHost& self,
                                      size_t most);

// What came of a configuration that was offered.
enum class OfferResult {
  kApplied,
  kNotNewer,
  // Another configuration has the same generation: one was never accepted.
  kConflict,
};

// The configuration in force at one process. Its generation only ever rises,
// whoever offers another one.
class CurrentConfiguration {
 public:
  explicit CurrentConfiguration(const config::Configuration& initial);

  OfferResult Offer(const config::Configuration& configuration);

  const config::Configuration& current() const { return this->in_force; }
  int64_t generation() const { return this->in_force.generation; }

 private:
  config::Configuration in_force;
};

// Decides when a process that has started knows the newest configuration well
// enough to serve: once the store has answered, or most of its peers have.
class StartupCheck {
 public:
  void NoteStoreAnswer();
  void NotePeerAnswer(const base::HostId& peer);

  // `peers` are the present ones. A generation of 0 is none.
  bool IsReady(const std::vector<base::HostId>& peers,
               int64_t generation) const;

 private:
  bool store_answered = false;
  std::set<base::HostId> answered;
};

// Whether `count` is more than half of `all`; never so of none.
bool IsMajority(size_t count, size_t all);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RELAY_H_
