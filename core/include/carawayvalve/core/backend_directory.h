#ifndef CARAWAYVALVE_CORE_BACKEND_DIRECTORY_H_
#define CARAWAYVALVE_CORE_BACKEND_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/store_outage.h"
#include "carawayvalve/core/version_history.h"

namespace carawayvalve::core {

// Registration of a backend server in the store.
struct BackendEntry {
  base::BackendServerId id;
  base::ServiceId service;
  base::Address address;
  base::DataCentreId data_centre;
  // Takes no new requests.
  bool draining = false;
  int64_t slots = 1;
  // Set for engines only.
  std::optional<config::EngineRole> role;
  // The version of its software. What two versions write doesn't fit together
  // in one stream.
  std::string software_version;
  // Start time in Unix milliseconds; distinguishes successive runs with the
  // same id.
  int64_t started_ms = 0;

  bool operator==(const BackendEntry&) const = default;
};

// One run of a backend server that has said that it leaves.
struct LeavingBackend {
  base::BackendServerId id;
  int64_t started_ms = 0;
  // When this process learnt it.
  base::Instant noted;

  bool operator==(const LeavingBackend&) const = default;
};

// The latest run of each backend server that has left. Beyond a fixed number
// the oldest records are evicted.
class LeavingBackends {
 public:
  // Replaces the record of the same backend server.
  void Note(const LeavingBackend& left);
  // Returns null without a record.
  const LeavingBackend* Find(const base::BackendServerId& id) const;
  // Removes the records that were noted before this instant.
  void RemoveBefore(base::Instant time);
  // Returns the records that were noted since, the newest first.
  std::vector<LeavingBackend> Since(base::Instant time) const;

 private:
  void RemoveOldest();

  std::map<base::BackendServerId, LeavingBackend> by_id;
  // The ids of all records, the oldest first.
  std::set<std::pair<base::Instant, base::BackendServerId>> by_time;
};

// The registered backend servers, built from the store's listings and change
// events, and from what they say of themselves: one that says it leaves counts
// as draining whatever its entry says, until it has restarted. An entry may
// lapse in an outage of the store although its backend server is alive; such an
// entry is kept for a grace period, since it is registered again soon after the
// store has come back.
class BackendDirectory {
 public:
  // `outages` says when a missing entry may have lapsed.
  explicit BackendDirectory(const StoreOutage::Settings& outages)
      : outage(outages) {}

  // Replaces all entries by a complete listing of the store.
  void NoteList(const std::vector<BackendEntry>& entries, base::Instant now);
  // Adds an entry of a list that isn't complete yet. Until the first list is
  // complete, no version counts as the only one.
  void NoteListedEntry(const BackendEntry& entry);
  // Removes the entries that only the list in progress has shown and returns
  // their ids, as the rest of that list won't come.
  std::vector<base::BackendServerId> DropNewlyListed();
  // Removes the entries that aren't `listed`, in a list that is complete now.
  void KeepOnly(const std::set<base::BackendServerId>& listed,
                base::Instant now);
  void NoteEntry(const BackendEntry& entry);
  void NoteRemoved(const base::BackendServerId& id, base::Instant now);

  // Records that this run of a backend server said that it leaves. Returns
  // whether that is news.
  bool NoteLeaving(const base::BackendServerId& id,
                   int64_t started_ms,
                   base::Instant now);

  // Returns what NoteLeaving has recorded since, the newest first.
  std::vector<LeavingBackend> LeavingSince(base::Instant since) const;

  StoreOutage& store_outage() { return this->outage; }
  // Records that the store came back from an older copy. A run that was removed
  // before and that the copy shows gets no requests until it is registered
  // again, or its entry has stayed for longer than that of a run that is gone.
  void NoteOlderStore(base::Instant now);

  // Drops the lapsed entries once the grace period is over and returns their
  // ids. Must be called regularly: it also takes note of the versions present.
  std::vector<base::BackendServerId> Expire(base::Instant now);

  // Sets whether this process has all changes of the registered backend servers
  // that it knows of, from the store or from peers.
  void SetCurrent(bool value) { this->is_current = value; }

  // Returns the software version of a service if its backend servers have had
  // no other one for `time`, during which this process or its predecessors knew
  // them. For a time of 0, returns the only version that is registered.
  std::optional<std::string> OnlyVersion(const base::ServiceId& service,
                                         base::Duration time,
                                         base::Instant now) const;

  // Returns the versions of all services within `time`, those included that are
  // registered now.
  std::map<base::ServiceId, ServiceVersions> RecentVersions(base::Duration time,
                                                            base::Instant now);

  VersionHistory& version_history() { return this->versions; }
  const VersionHistory& version_history() const { return this->versions; }

  // Backend servers that may still serve requests in flight, including draining
  // ones.
  const std::map<base::BackendServerId, BackendEntry>& entries() const {
    return this->known;
  }
  // Returns null if the backend server isn't registered.
  const BackendEntry* Find(const base::BackendServerId& id) const;

 private:
  // Records the versions that are registered or were since the last call.
  void NoteVersions(base::Instant now);

  // Notes the version of an entry, unless that has no id, with the next ones.
  void NoteVersionOf(const BackendEntry& entry);
  bool IsLeaving(const base::BackendServerId& id, int64_t started_ms) const;
  // Returns whether the run was removed before the store came back from a copy.
  bool WasRemoved(const BackendEntry& entry) const;
  // Removes an entry and keeps its run as removed.
  void Remove(std::map<base::BackendServerId, BackendEntry>::iterator entry,
              base::Instant now);
  // Gives back the requests to runs whose entries have stayed.
  void ReleaseHeld(base::Instant now);
  // Returns the only version that is registered or was since the last call of
  // Expire, as far as this process knows: an entry that is replaced or removed
  // may have been there until then.
  std::optional<std::string> OnlyVersionPresent(
      const base::ServiceId& service) const;

  StoreOutage outage;
  std::map<base::BackendServerId, BackendEntry> known;
  // Kept when the entry is removed: an older copy of the store may bring it
  // back.
  LeavingBackends leaving;
  // The runs that were removed of late.
  LeavingBackends removed;
  std::optional<base::Instant> older_store_at;
  // The entries that only the list in progress has shown.
  std::set<base::BackendServerId> newly_listed;
  // Those of the removed runs that an older copy of the store shows.
  std::set<base::BackendServerId> held;
  // Time at which each missing entry was first noticed to be missing.
  std::map<base::BackendServerId, base::Instant> lapsed;
  // Versions up to the last call of Expire.
  VersionHistory versions;
  // Services and versions that were registered since.
  std::set<std::pair<base::ServiceId, std::string>> new_versions;
  bool has_list = false;
  // Some pages of the first list are there, but not all.
  bool listing_first = false;
  bool is_current = true;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_BACKEND_DIRECTORY_H_
