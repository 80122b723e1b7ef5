#ifndef CARAWAYVALVE_GATEWAY_SRC_STORE_FEED_H_
#define CARAWAYVALVE_GATEWAY_SRC_STORE_FEED_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/core/watch_plan.h"
#include "carawayvalve/platform/objects.h"
#include "context.h"

namespace carawayvalve::gateway {

// Follows all objects of one kind: lists them, then watches for changes, and
// lists them again when the store no longer has the changes.
class ObjectWatcher {
 public:
  struct Hooks {
    // Receives the objects of each page of a list, as soon as it is there.
    std::function<void(const std::vector<platform::StoredObject>&)> on_page;
    // Receives all objects, from a list whose first request was sent at
    // `sent_at`.
    std::function<void(const std::vector<platform::StoredObject>&,
                       base::Instant sent_at)>
        on_list;
    // Receives the changes, from a watch that was sent at `sent_at`.
    std::function<void(const std::vector<platform::ObjectChange>&,
                       base::Instant sent_at)>
        on_changes;
    // Called when a call was refused or failed.
    std::function<void(const std::string& reason)> on_failure;
  };

  ObjectWatcher(Context& context,
                platform::ObjectClient& objects,
                std::string kind,
                Hooks hooks);

  void Start() { this->List(""); }

  // Sets how long watches wait for changes, from the next watch on.
  void SetWait(base::Milliseconds watch_wait) { this->wait = watch_wait; }
  // Replaces the pending watch by one that is answered at once, unless it was
  // sent less than a second ago.
  void PollNow();
  // Sets the delay after changes before the next watch: many backend servers
  // change at about the same time, and each watch is a call.
  void SetBatchDelay(base::Milliseconds time) { this->batch_delay = time; }
  // Records that a peer has received changes up to a revision of the store.
  // Sends a new watch when the pending one should have received them too, since
  // its connection may be broken.
  void NoteRevision(int64_t peer_revision);
  // Returns the revision of the newest change to this kind that was received.
  // The store's own revision also rises with changes to other kinds.
  int64_t newest_change() const { return this->newest_revision; }
  // Returns whether all changes that this process or a peer knows of have been
  // received and the last call was answered.
  bool IsCurrent() const {
    return this->failures == 0 && this->peers_revision <= this->revision;
  }

 private:
  void List(const std::string& after);
  void OnListed(const platform::ListResult& result, base::Instant sent_at);
  void Watch(base::Milliseconds watch_wait);
  void OnWatched(const platform::WatchResult& result, base::Instant sent_at);
  // Calls `retry` after a backoff that grows with consecutive failures.
  void RetryLater(const std::string& reason, std::function<void()> retry);
  // Removes the changes that the list already included.
  void DropListedChanges(std::vector<platform::ObjectChange>& changes);
  void NoteSuccess();

  Context& context;
  platform::ObjectClient& objects;
  std::string kind;
  Hooks hooks;
  platform::ObjectClient::Handle call;
  net::Timer timer;
  std::vector<platform::StoredObject> listed;
  // When the first page was requested.
  base::Instant list_sent_at;
  // The revision of the store at the first page. Objects of that page may have
  // changed by the time of the last one.
  int64_t list_revision = 0;
  // The revisions of the listed objects, until the first watch after the list
  // was answered: it returns changes that later pages include.
  std::map<std::string, int64_t> listed_revisions;
  base::Milliseconds wait;
  base::Milliseconds batch_delay{0};
  // The revision of the store up to which changes were received.
  int64_t revision = 0;
  int64_t newest_revision = 0;
  // The newest change that peers have received.
  int64_t peers_revision = 0;
  int64_t failures = 0;
  // When the pending watch was sent; empty while none is pending.
  std::optional<base::Instant> watch_sent_at;
};

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
    this->configuration.SetWait(waits.configuration);
    this->backends.SetWait(waits.backends);
  }
  // Polls the store to confirm that the configuration is current, if neither
  // the store nor a peer has confirmed it for some time.
  void RenewFreshness(base::Instant now);
  // Returns the revision of the newest received change of backend servers.
  int64_t registry_revision() const { return this->backends.newest_change(); }
  // Records the corresponding revision of a peer.
  void NoteRegistryRevision(int64_t peer_revision) {
    this->backends.NoteRevision(peer_revision);
    this->UpdateCurrent();
  }
  // Applies a configuration that the store or a peer sent; `source` is logged.
  void ApplyPlan(const std::shared_ptr<const nlohmann::json>& value,
                 const std::string& source);

 private:
  // Records in the state whether the list of backend servers is current.
  void UpdateCurrent() {
    this->context.state.directory.SetCurrent(this->backends.IsCurrent());
  }
  void ApplyConfiguration(const platform::StoredObject& object);
  // A server that a list shows for the first time isn't logged: there may be
  // thousands.
  void ApplyBackend(const platform::StoredObject& object, bool from_list);
  // Drops the backend servers that weren't on the pages of a list.
  void OnAllBackendsListed();
  void RemoveBackend(const base::BackendServerId& id, const char* cause);

  Context& context;
  ObjectWatcher configuration;
  ObjectWatcher backends;
  // The readable entries on the pages of the list in progress.
  std::set<base::BackendServerId> listed_backends;
  std::shared_ptr<const nlohmann::json> plan;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_STORE_FEED_H_
