#ifndef CARAWAYVALVE_GATEWAY_SRC_STORE_FEED_H_
#define CARAWAYVALVE_GATEWAY_SRC_STORE_FEED_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/core/watch_plan.h"
#include "carawayvalve/platform/objects.h"
#include "context.h"

namespace carawayvalve::gateway {

// Follows all objects of one kind: lists them, then watches for changes, and
// lists them again when the store has forgotten the changes.
class ObjectWatcher {
 public:
  struct Hooks {
    // All objects, by a list that was asked for at `asked`.
    std::function<void(const std::vector<platform::StoredObject>&,
                       base::Instant asked)>
        on_list;
    // What has changed, by a watch that was begun at `asked`.
    std::function<void(const std::vector<platform::ObjectChange>&,
                       base::Instant asked)>
        on_changes;
    // The store refused or was silent.
    std::function<void(const std::string& reason)> on_failure;
  };

  ObjectWatcher(Context& context,
            platform::ObjectClient& objects,
            std::string kind,
            Hooks hooks);

  void Start() { this->List(""); }

  // From the next watch on.
  void SetWait(base::Milliseconds watch_wait) { this->wait = watch_wait; }
  // Asks anew for an answer at once, unless a question has just been sent.
  void AskNow();
  // After changes, waits for so long before it watches again: many backend
  // servers change at about the same time, and each watch is a call.
  void SetGathering(base::Milliseconds time) { this->gathering = time; }
  // A peer has heard of changes up to a revision of the store. Asks anew when
  // this watch should have heard of them too, but may be dead.
  void NoteRevision(int64_t heard);
  // The revision of the newest change to this kind that is known. The store's
  // own revision rises with changes to other kinds, too.
  int64_t newest_change() const { return this->changed; }

 private:
  void List(const std::string& after);
  void OnListed(const platform::ListResult& result, base::Instant asked);
  void Watch(base::Milliseconds watch_wait);
  void OnWatched(const platform::WatchResult& result, base::Instant asked);
  // Waits longer after each failure in a row, then goes on with `again`.
  void Retry(const std::string& reason, std::function<void()> again);
  void NoteSuccess();

  Context& context;
  platform::ObjectClient& objects;
  std::string kind;
  Hooks hooks;
  platform::ObjectClient::Handle call;
  net::Timer timer;
  std::vector<platform::StoredObject> listed;
  // When the first page was asked for.
  base::Instant list_asked;
  base::Milliseconds wait;
  base::Milliseconds gathering{0};
  // Up to which the store's changes are known.
  int64_t revision = 0;
  int64_t changed = 0;
  int64_t failures = 0;
  // When the watch that is under way was begun; none while there is none.
  std::optional<base::Instant> watching_since;
};

// Keeps the configuration and the backend servers of the beliefs as the store
// has them.
class StoreFeed {
 public:
  StoreFeed(Context& context, platform::ObjectClient& objects);

  void Start();
  // Drops backend servers whose entries lapsed and didn't come back.
  void ExpireBackends();
  // The configuration as the store has it, for peers that it turns away; null
  // before the first.
  const std::shared_ptr<const nlohmann::json>& plan_value() const {
    return this->plan;
  }
  void SetWatchWaits(const core::WatchWaits& waits) {
    this->configuration.SetWait(waits.configuration);
    this->backends.SetWait(waits.backends);
  }
  // Asks the store for a new proof that the configuration is the newest, if no
  // peer has given one for long.
  void RenewProof(base::Instant now);
  // How far the store's changes of backend servers are known here, and by a
  // peer.
  int64_t registry_revision() const { return this->backends.newest_change(); }
  void NoteRegistryRevision(int64_t heard) {
    this->backends.NoteRevision(heard);
  }
  // Puts a configuration in force that a peer has from the store.
  void ApplyPlan(const std::shared_ptr<const nlohmann::json>& value,
                const std::string& source);

 private:
  void TakeConfiguration(const platform::StoredObject& object);
  void TakeBackend(const platform::StoredObject& object);
  void RemoveBackend(const base::BackendServerId& id, const char* cause);

  Context& context;
  ObjectWatcher configuration;
  ObjectWatcher backends;
  std::shared_ptr<const nlohmann::json> plan;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_STORE_FEED_H_
