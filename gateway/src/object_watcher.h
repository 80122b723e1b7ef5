#ifndef CARAWAYVALVE_GATEWAY_SRC_OBJECT_WATCHER_H_
#define CARAWAYVALVE_GATEWAY_SRC_OBJECT_WATCHER_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/core/change_log.h"
#include "carawayvalve/core/store_outage.h"
#include "carawayvalve/core/store_revision.h"
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
    // Called when a list is given up before its last page: its pages don't
    // count.
    std::function<void()> on_list_abandoned;
    // Called when all pages of a list were received, whose first request was
    // sent at `sent_at`.
    std::function<void(base::Instant sent_at)> on_list;
    // Receives the changes, from a watch that was sent at `sent_at`.
    std::function<void(const std::vector<platform::ObjectChange>&,
                       base::Instant sent_at)>
        on_changes;
    // Called when a call was refused or failed.
    std::function<void(const core::UnansweredCall& call)> on_failure;
    // Called when the store has answered a call.
    std::function<void()> on_answer;
    // Called when the store has come back from an older copy, before the
    // objects are listed again.
    std::function<void()> on_older_store;
  };

  ObjectWatcher(Context& context,
                platform::ObjectClient& objects,
                std::string kind,
                Hooks hooks);

  void Start() { this->List(""); }
  // Lists the objects again after a while, as one couldn't be read. Called from
  // a hook.
  void ListAgain() { this->lists_again = true; }

  // Sets how the objects are followed, from the next call on.
  void SetSchedule(const core::WatchSchedule& changed) {
    this->schedule = changed;
  }
  // Asks the store if the schedule calls for it, or if peers know changes that
  // they haven't passed on. Must be called several times a second.
  void Renew(base::Instant now);
  // Asks the store for changes with an answer at once. Replaces the pending
  // watch unless it was sent less than a second ago.
  void PollNow();
  // Has the store show, as of now or later, that all changes are known here.
  // Leaves the pending watch alone, whose connection may be broken. Calls of
  // this method that come close together share one call of the store. Calls
  // `done` whenever one was answered; nothing if it fails.
  void Confirm(std::function<void()> done);
  // Keeps the changes for peers.
  void KeepLog() { this->keeps_log = true; }
  const core::ChangeLog& log() const { return this->change_log; }
  // Applies changes that a peer returned for the revision known here then.
  void ApplyPeerChanges(const platform::ObjectChanges& received);
  // Records that all changes up to `at` are known here, as a peer knows no
  // others up to then. The store isn't asked for them again. No effect while a
  // call of this process is under way.
  void NoteReceived(const core::StoreRevision& at) {
    if (this->activity != Activity::kBusy && at.Includes(this->revision) &&
        !this->IsOfOlderEra()) {
      this->revision = at;
    }
  }
  // Records that a peer which has no changes that are missing here had all
  // changes at this instant.
  void NoteConfirmed(base::Instant at) {
    this->confirmed_at = std::max(this->confirmed_at.value_or(at), at);
  }
  // Returns since when changes may be missing, nothing before the first list.
  std::optional<base::Instant> confirmed() const { return this->confirmed_at; }
  // Returns the revision up to which changes were received.
  const core::StoreRevision& received_revision() const {
    return this->revision;
  }
  // Returns a revision: who has received all changes up to it has all that were
  // received here. A list or a removal may show no newer object.
  core::StoreRevision proof_revision() const {
    return std::max(this->newest_revision, this->hidden_revision);
  }
  bool IsIdle() const { return this->activity == Activity::kIdle; }
  // Returns whether peers know changes that are missing here.
  bool IsBehind() const {
    return this->IsOfOlderEra() || this->peers_revision > this->revision;
  }
  // Sets the delay after changes before the next watch: many backend servers
  // change at about the same time, and each watch is a call.
  void SetBatchDelay(base::Milliseconds time) { this->batch_delay = time; }
  // Records that a peer has received changes up to a revision of the store.
  // Sends a new watch when the pending one should have received them too, since
  // its connection may be broken.
  void NoteRevision(const core::StoreRevision& peer_revision);
  // Returns the revision of the newest change to this kind that was received.
  // The store's own revision also rises with changes to other kinds.
  const core::StoreRevision& newest_change() const {
    return this->newest_revision;
  }
  // Returns the store's revision up to which changes were received; 0 before
  // the first list.
  const core::StoreRevision& read_to() const { return this->revision; }
  // Returns whether all changes that this process or a peer knows of have been
  // received, and the store has answered this process or a peer since the last
  // failure.
  bool IsCurrent() const {
    const bool answered =
        this->failures == 0 ||
        this->confirmed_at.value_or(this->failed_at) > this->failed_at;
    return answered && !this->IsBehind();
  }

 private:
  struct ListedObject {
    std::string name;
    int64_t revision = 0;
  };

  // Returns whether the store is known to have come back from an older copy
  // since the objects were listed.
  bool IsOfOlderEra() const {
    return this->revision.era < this->context.state.store_era;
  }
  // Returns the state of the store at an answer. One that doesn't say its era
  // is of the latest.
  core::StoreRevision At(int64_t answered, std::optional<int64_t> era) const {
    return {era.value_or(this->context.state.store_era), answered};
  }
  // Returns whether a watch that was sent longer ago than `age` is pending,
  // whose connection may be broken. One whose answer is arriving isn't sent
  // again, as the answer would begin again.
  bool MayReplaceWatch(base::Duration age, base::Instant now) const;
  // Lists the objects again, as the store came back from an older copy.
  void ListOlderStore();
  void List(const std::string& after);
  void AbandonList();
  // Returns whether the list in progress and a further page fit in their part
  // of the memory.
  bool FitsInList(const std::vector<platform::StoredObject>& page) const;
  void OnListed(const platform::ListResult& result, base::Instant sent_at);
  // Goes on after an answer: with a watch, or idle. After a failure asks for an
  // answer at once, which shows whether the store is there.
  void Follow();
  void Watch(base::Milliseconds watch_wait);
  // Applies all changes up to `at`.
  void ApplyChanges(const platform::ObjectChanges& received,
                    const core::StoreRevision& at,
                    base::Instant sent_at);
  // `since` is the revision that was watched from.
  void OnWatched(const platform::WatchResult& result,
                 base::Instant sent_at,
                 const core::StoreRevision& since);
  void SendConfirm();
  void OnConfirmed(bool is_answered, base::Instant sent_at);
  // Calls `retry` after a backoff that grows with consecutive failures or lists
  // that are too long.
  void RetryLater(const std::string& reason,
                  const core::UnansweredCall& failed,
                  std::function<void()> retry);
  // Removes the changes that the list already included.
  void DropListedChanges(std::vector<platform::ObjectChange>& changes);
  void NoteSuccess();
  // Logs how far a call had come.
  void LogFailedCall(const char* call,
                     const platform::StoreCallFailed& failure,
                     base::Instant sent_at);
  // Logs and counts it if an answer's revision is less than `known`.
  void LogLowerRevision(const core::StoreRevision& answered,
                        const core::StoreRevision& known);

  Context& context;
  platform::ObjectClient& objects;
  std::string kind;
  Hooks hooks;
  platform::ObjectClient::Handle call;
  net::Timer timer;
  // The objects of the list in progress, without their values.
  std::vector<ListedObject> listed;
  // What they take of the memory.
  size_t listed_bytes = 0;
  // How many lists in a row were too long.
  int64_t long_lists = 0;
  // When the first page was requested.
  base::Instant list_sent_at;
  // When the latest page was requested.
  base::Instant page_sent_at;
  // The revision of the store at the first page. Objects of that page may have
  // changed by the time of the last one.
  core::StoreRevision list_revision;
  // The revisions of the listed objects, until the first watch after the list
  // was answered: it returns changes that later pages include.
  std::map<std::string, int64_t> listed_revisions;
  // A list, a call that is answered at once or a delay is under way; a watch is
  // pending; or neither.
  enum class Activity { kBusy, kWatching, kIdle };
  Activity activity = Activity::kBusy;
  core::WatchSchedule schedule;
  base::Milliseconds batch_delay{0};
  bool keeps_log = false;
  bool lists_again = false;
  core::ChangeLog change_log;
  // The revision of the store up to which changes were received.
  core::StoreRevision revision;
  core::StoreRevision newest_revision;
  // The store's revision at the last list or removal.
  core::StoreRevision hidden_revision;
  // The newest change that peers have received.
  core::StoreRevision peers_revision;
  // Since when changes that peers know have been missing; empty if none are.
  std::optional<base::Instant> lacking_since;
  std::optional<base::Instant> confirmed_at;
  // The call that has the store confirm the changes known here, if any.
  platform::ObjectClient::Handle confirm_call;
  net::Timer confirm_timer;
  base::Instant confirm_sent_at;
  bool confirm_again = false;
  std::function<void()> on_confirmed = [] {};
  int64_t failures = 0;
  base::Instant failed_at;
  // When the pending watch was sent; empty while none is pending.
  std::optional<base::Instant> watch_sent_at;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_OBJECT_WATCHER_H_
