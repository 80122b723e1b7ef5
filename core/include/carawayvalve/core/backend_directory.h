#ifndef CARAWAYVALVE_CORE_BACKEND_DIRECTORY_H_
#define CARAWAYVALVE_CORE_BACKEND_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::core {

// What a backend server says of itself in the store.
struct BackendEntry {
  base::BackendServerId id;
  base::ServiceId service;
  base::Address address;
  base::DataCentreId data_centre;
  // It takes no new work.
  bool draining = false;
  int64_t slots = 1;
  // Only engines have a role.
  std::optional<config::EngineRole> role;
  // Unix milliseconds of its start; tells runs of one id apart.
  int64_t started_ms = 0;

  bool operator==(const BackendEntry&) const = default;
};

// Which backend servers there are, from the store's list and its changes. An
// entry may lapse while the store is disturbed although its backend server
// lives; it comes back soon after the store does, if so.
class BackendDirectory {
 public:
  // `grace_period` is how long after a disturbance of the store a lapsed entry
  // may take to come back.
  explicit BackendDirectory(base::Duration grace_period)
      : grace_period(grace_period) {}

  // The store gave all entries.
  void NoteList(const std::vector<BackendEntry>& entries, base::Instant now);
  void NoteEntry(const BackendEntry& entry);
  void NoteRemoved(const base::BackendServerId& id, base::Instant now);

  // The store didn't answer, or refused.
  void NoteStoreFailure(base::Instant now) { this->store_failed_at = now; }

  // Drops lapsed entries whose time to come back is over. Returns them.
  std::vector<base::BackendServerId> Expire(base::Instant now);

  // All that may still serve requests under way; ones that drain are among
  // them.
  const std::map<base::BackendServerId, BackendEntry>& entries() const {
    return this->known;
  }
  // Null for one that isn't known.
  const BackendEntry* Find(const base::BackendServerId& id) const;

 private:
  bool InGracePeriod(base::Instant now) const;

  base::Duration grace_period;
  std::map<base::BackendServerId, BackendEntry> known;
  // When each missing entry was last known to be missing.
  std::map<base::BackendServerId, base::Instant> lapsed;
  std::optional<base::Instant> store_failed_at;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_BACKEND_DIRECTORY_H_
