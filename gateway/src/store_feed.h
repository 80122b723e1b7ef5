#ifndef CARAWAYVALVE_GATEWAY_SRC_STORE_FEED_H_
#define CARAWAYVALVE_GATEWAY_SRC_STORE_FEED_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/core/plan_log.h"
#include "carawayvalve/core/store_revision.h"
#include "carawayvalve/core/watch_plan.h"
#include "carawayvalve/platform/objects.h"
#include "context.h"
#include "object_watcher.h"

namespace carawayvalve::gateway {

// Keeps the configuration and the backend servers in the state up to date with
// the store.
class StoreFeed {
 public:
  StoreFeed(Context& context, platform::ObjectClient& objects);

  void Start();
  // Drops backend servers whose entries expired and weren't restored within the
  // grace period.
  void ExpireBackends();
  // Returns the configuration in the store's form, for peers that the store
  // refuses. Null before the first one.
  const std::shared_ptr<const nlohmann::json>& plan_value() const {
    return this->plan;
  }
  void SetWatchWaits(const core::WatchWaits& waits) {
    this->configuration.SetSchedule(waits.configuration);
    this->backends.SetSchedule(waits.backends);
  }
  // Polls the store to confirm that the configuration and the list of backend
  // servers are current, if neither the store nor a peer has confirmed it for
  // some time. Must be called several times a second.
  void RenewFreshness(base::Instant now);
  // Returns the changes between the latest versions.
  const core::PlanLog& plan_log() const { return this->plan_changes; }
  // Returns the store's revision up to which the configuration known here is
  // the configuration; nothing if that isn't known.
  std::optional<core::StoreRevision> plan_revision() const;
  // Records the corresponding revision of a peer with the same version.
  void NotePlanRevision(const core::StoreRevision& at) {
    this->configuration.NoteReceived(at);
  }
  // Records that a peer's configuration, of the version known here, was current
  // at this instant.
  void NoteConfigurationConfirmed(base::Instant at) {
    this->configuration.NoteConfirmed(at);
  }
  // Has the store show that all backend servers are known here. Calls `done`
  // whenever it has answered.
  void ConfirmRegistry(const std::function<void()>& done) {
    this->backends.Confirm([this, done] {
      this->UpdateCurrent();
      done();
    });
  }
  const ObjectWatcher& registry() const { return this->backends; }
  // Applies changes of backend servers that a peer returned.
  void ApplyPeerChanges(const platform::ObjectChanges& received) {
    this->backends.ApplyPeerChanges(received);
  }
  // Records that a peer had all changes of backend servers at this instant; no
  // effect while changes that peers know are missing here.
  void NoteRegistryConfirmed(base::Instant at);
  // Returns the revision of the newest received change of backend servers.
  const core::StoreRevision& registry_revision() const {
    return this->backends.newest_change();
  }
  // Returns the store's revision up to which backend servers are known.
  const core::StoreRevision& registry_read_to() const {
    return this->backends.read_to();
  }
  // Records the corresponding revision of a peer.
  void NoteRegistryRevision(const core::StoreRevision& peer_revision) {
    this->backends.NoteRevision(peer_revision);
    this->UpdateCurrent();
  }
  // Applies a configuration that the store or a peer sent; `source` is logged.
  // `changes` turn the one known here into it; without any they are found.
  // Returns whether it can be read.
  bool ApplyPlan(const std::shared_ptr<const nlohmann::json>& value,
                 const std::string& source,
                 const std::vector<core::PlanChange>& changes = {});

 private:
  // Adds the changes from the configuration known here to the log, for peers.
  void LogPlanChanges(int64_t version,
                      const nlohmann::json& value,
                      const std::vector<core::PlanChange>& changes);
  // Records in the state whether the list of backend servers is current.
  void UpdateCurrent() {
    this->context.state.directory.SetCurrent(this->backends.IsCurrent());
  }
  void ApplyConfiguration(const platform::StoredObject& object);
  // A server that a list shows for the first time isn't logged: there may be
  // thousands.
  void ApplyBackend(const platform::StoredObject& object, bool from_list);
  // The store refused a call for the backend servers, or didn't answer it.
  void OnBackendsUnanswered(const core::UnansweredCall& call);
  // Entries that are missing from an older copy are written again soon.
  void OnOlderStore();
  // Drops the backend servers that only this list has shown.
  void OnListAbandoned();
  // Drops the backend servers that weren't on the pages of a list.
  void OnAllBackendsListed();
  // Handles the removal of an entry, whose name may be none of a server.
  void OnRemoved(const std::string& name);
  // Drops what is known of a backend server beside its entry.
  void ForgetBackend(const base::BackendServerId& id);
  void RemoveBackend(const base::BackendServerId& id, const char* cause);

  Context& context;
  ObjectWatcher configuration;
  ObjectWatcher backends;
  // The readable entries on the pages of the list in progress.
  std::set<base::BackendServerId> listed_backends;
  std::shared_ptr<const nlohmann::json> plan;
  core::PlanLog plan_changes;
  // The store's newest value of the configuration couldn't be read.
  bool plan_unreadable = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_STORE_FEED_H_
