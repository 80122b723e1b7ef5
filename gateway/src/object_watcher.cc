#include "object_watcher.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

namespace carawayvalve::gateway {

namespace {

// The backoff after the first failed call; it doubles with each further one.
constexpr base::Milliseconds kFirstRetryDelay(100);
constexpr base::Milliseconds kMaxRetryDelay(800);
constexpr int64_t kMaxDoublings = 3;
// Objects that couldn't be read are listed again after this time.
constexpr base::Milliseconds kListAgainDelay(600);
// The minimum interval between two watches that are answered at once.
constexpr base::Milliseconds kMinPollInterval(1000);
// A watch older than this is sent again when a peer knows a newer revision.
constexpr base::Milliseconds kMinWatchAge(700);
// The minimum interval between two calls that confirm the changes known here.
constexpr base::Milliseconds kMinConfirmInterval(100);
// Changes that peers know and haven't passed on for this long are fetched from
// the store.
constexpr base::Milliseconds kMaxLack(300);
// The objects of a list may have this part of the memory: a new list and the
// one before it are known at the same time.
constexpr size_t kListDivisor = 8;
// What a listed object takes in all tables, beside its texts.
constexpr size_t kListedBytes = 1024;
// Longer texts of a value aren't kept.
constexpr size_t kMaxTextBytes = size_t{8} * 1024;

size_t TextBytesOf(const nlohmann::json& value) {
  size_t bytes = 0;
  for (const nlohmann::json& member : value) {
    if (const auto* text = member.get_ptr<const std::string*>()) {
      bytes += text->size();
    }
  }
  return std::min(bytes, kMaxTextBytes);
}

size_t BytesOf(const platform::StoredObject& object) {
  return object.name.size() + TextBytesOf(*object.value) + kListedBytes;
}

}  // namespace

ObjectWatcher::ObjectWatcher(Context& context,
                             platform::ObjectClient& objects,
                             std::string kind,
                             Hooks hooks)
    : context(context),
      objects(objects),
      kind(std::move(kind)),
      hooks(std::move(hooks)),
      timer(context.loop),
      schedule{context.state.settings.store.watch_wait, std::nullopt},
      confirm_timer(context.loop) {}

void ObjectWatcher::List(const std::string& after) {
  this->page_sent_at = base::Now();
  this->activity = Activity::kBusy;
  if (after.empty()) {
    this->AbandonList();
    this->list_sent_at = this->page_sent_at;
  }
  this->call = this->objects.List(this->kind, after, false,
                                  [this](const platform::ListResult& result) {
                                    this->OnListed(result, this->list_sent_at);
                                  });
}

void ObjectWatcher::AbandonList() {
  if (!std::exchange(this->listed, {}).empty()) {
    this->hooks.on_list_abandoned();
  }
  this->listed_bytes = 0;
}

bool ObjectWatcher::FitsInList(
    const std::vector<platform::StoredObject>& page) const {
  size_t bytes = this->listed_bytes;
  for (const platform::StoredObject& object : page) {
    bytes += BytesOf(object);
  }
  return bytes <= this->context.state.settings.memory_bytes / kListDivisor;
}

void ObjectWatcher::OnListed(const platform::ListResult& result,
                             base::Instant sent_at) {
  const auto* page = std::get_if<platform::ObjectPage>(&result);
  if (page == nullptr) {
    const auto* refused = std::get_if<platform::StoreRefused>(&result);
    const auto* failure = std::get_if<platform::StoreCallFailed>(&result);
    if (failure != nullptr) {
      this->LogFailedCall("list", *failure, sent_at);
    }
    const std::string after =
        this->listed.empty() ? "" : this->listed.back().name;
    this->RetryLater(
        refused != nullptr   ? "status " + std::to_string(refused->status)
        : failure != nullptr ? failure->reason
                             : "history lost",
        {this->page_sent_at}, [this, after] { this->List(after); });
    return;
  }
  this->NoteSuccess();
  const core::StoreRevision at = this->At(page->revision, page->era);
  if (at.era < this->context.state.store_era) {
    this->RetryLater("an answer of an earlier era", {base::Now()},
                     [this] { this->List(""); });
    return;
  }
  const bool is_first = this->listed.empty();
  const bool returned = is_first ? this->revision != core::StoreRevision() &&
                                       at.era > this->revision.era
                                 : at.era > this->list_revision.era;
  if (returned) {
    this->hooks.on_older_store();
    if (!is_first) {
      this->List("");
      return;
    }
  }
  if (is_first) {
    this->list_revision = at;
  }
  if (!this->FitsInList(page->objects)) {
    this->AbandonList();
    ++this->long_lists;
    this->RetryLater("the list is too long", {base::Now()},
                     [this] { this->List(""); });
    return;
  }
  for (const platform::StoredObject& object : page->objects) {
    this->listed_bytes += BytesOf(object);
    this->listed.push_back({object.name, object.revision});
  }
  this->hooks.on_page(page->objects);
  if (page->after.has_value()) {
    this->List(*page->after);
    return;
  }
  this->LogLowerRevision(this->list_revision, this->revision);
  if (this->list_revision < this->revision) {
    this->newest_revision = {};
    this->peers_revision = {};
  }
  this->revision = this->list_revision;
  this->hidden_revision = this->revision;
  this->listed_revisions.clear();
  this->listed_bytes = 0;
  this->long_lists = 0;
  for (const ListedObject& object : std::exchange(this->listed, {})) {
    this->newest_revision =
        std::max(this->newest_revision, {this->revision.era, object.revision});
    this->listed_revisions[object.name] = object.revision;
  }
  this->change_log.Restart(this->revision);
  this->NoteConfirmed(sent_at);
  this->hooks.on_list(sent_at);
  this->Follow();
}

void ObjectWatcher::Follow() {
  if (std::exchange(this->lists_again, false)) {
    this->activity = Activity::kBusy;
    this->timer.Start(kListAgainDelay, [this] { this->List(""); });
    return;
  }
  if (this->failures > 0) {
    this->Watch(base::Milliseconds(0));
  } else if (this->schedule.wait.has_value()) {
    this->Watch(*this->schedule.wait);
  } else {
    this->activity = Activity::kIdle;
  }
}

void ObjectWatcher::Renew(base::Instant now) {
  if (this->activity != Activity::kBusy && this->IsOfOlderEra()) {
    this->ListOlderStore();
    return;
  }
  if (this->activity == Activity::kIdle && this->schedule.wait.has_value()) {
    this->Follow();
    return;
  }
  const auto& limit = this->schedule.renew_age;
  const bool old = limit.has_value() && this->confirmed_at.has_value() &&
                   now - *this->confirmed_at > *limit;
  const bool lacks =
      this->lacking_since.has_value() && now - *this->lacking_since > kMaxLack;
  const bool replaces = this->MayReplaceWatch(kMinWatchAge, now);
  if ((this->activity == Activity::kIdle && (old || lacks)) ||
      (replaces && old)) {
    this->Watch(base::Milliseconds(0));
  }
}

void ObjectWatcher::NoteRevision(const core::StoreRevision& peer_revision) {
  this->peers_revision = std::max(this->peers_revision, peer_revision);
  if (this->peers_revision <= this->revision) {
    this->lacking_since.reset();
    return;
  }
  const base::Instant now = base::Now();
  this->lacking_since = this->lacking_since.value_or(now);
  if (this->MayReplaceWatch(kMinWatchAge, now)) {
    this->Follow();
  }
}

bool ObjectWatcher::MayReplaceWatch(base::Duration age,
                                    base::Instant now) const {
  return this->activity == Activity::kWatching &&
         now - *this->watch_sent_at > age &&
         !platform::ObjectClient::IsArriving(this->call);
}

void ObjectWatcher::PollNow() {
  const bool replaces = this->MayReplaceWatch(kMinPollInterval, base::Now());
  if (replaces || this->activity == Activity::kIdle) {
    this->Watch(base::Milliseconds(0));
  }
}

void ObjectWatcher::ListOlderStore() {
  this->timer.Cancel();
  this->watch_sent_at.reset();
  this->hooks.on_older_store();
  this->List("");
}

void ObjectWatcher::Watch(base::Milliseconds watch_wait) {
  if (this->IsOfOlderEra()) {
    this->ListOlderStore();
    return;
  }
  const base::Instant sent_at = base::Now();
  this->watch_sent_at = sent_at;
  this->activity =
      watch_wait.count() > 0 ? Activity::kWatching : Activity::kBusy;
  this->call =
      this->objects.Watch(this->kind, this->revision.revision, watch_wait,
                          [this, sent_at, since = this->revision](
                              const platform::WatchResult& result) {
                            this->OnWatched(result, sent_at, since);
                          });
}

void ObjectWatcher::OnWatched(const platform::WatchResult& result,
                              base::Instant sent_at,
                              const core::StoreRevision& since) {
  const bool was_waiting =
      std::exchange(this->activity, Activity::kBusy) == Activity::kWatching;
  this->watch_sent_at.reset();
  if (const auto* answer = std::get_if<platform::ObjectChanges>(&result)) {
    this->NoteSuccess();
    const core::StoreRevision at = this->At(answer->revision, answer->era);
    this->LogLowerRevision(at, since);
    const bool went_back = answer->revision != 0 && !at.Includes(since);
    if (went_back || this->IsOfOlderEra()) {
      this->ListOlderStore();
      return;
    }
    // A peer may have passed on later changes meanwhile.
    if (answer->revision == 0 || at >= this->revision) {
      this->ApplyChanges(*answer, at, sent_at);
    }
    this->NoteConfirmed(sent_at);
    // Peers without a watch of their own rely on it.
    if (this->schedule.renew_age.has_value()) {
      this->context.on_urgent_news();
    }
    if (answer->changes.empty() || this->batch_delay.count() == 0 ||
        !this->schedule.wait.has_value()) {
      this->Follow();
    } else {
      this->timer.Start(this->batch_delay, [this] { this->Follow(); });
    }
    return;
  }
  if (std::holds_alternative<platform::HistoryLost>(result)) {
    this->context.journal.Write(
        base::LogLevel::kWarning, "history_lost",
        {{"kind", this->kind}, {"revision", this->revision.revision}});
    if (this->IsOfOlderEra()) {
      this->ListOlderStore();
    } else {
      this->List("");
    }
    return;
  }
  if (const auto* refused = std::get_if<platform::StoreRefused>(&result)) {
    this->RetryLater("status " + std::to_string(refused->status),
                     {sent_at, was_waiting}, [this] { this->Follow(); });
    return;
  }
  const auto& failure = std::get<platform::StoreCallFailed>(result);
  this->LogFailedCall("watch", failure, sent_at);
  this->RetryLater(failure.reason, {sent_at, was_waiting && !failure.not_sent},
                   [this, lists = failure.too_large] {
                     // A list is had in pages.
                     if (lists) {
                       this->List("");
                     } else {
                       this->Follow();
                     }
                   });
}

void ObjectWatcher::Confirm(std::function<void()> done) {
  this->on_confirmed = std::move(done);
  if (this->confirm_call != nullptr) {
    this->confirm_again = true;
    return;
  }
  const base::Duration waits =
      this->confirm_sent_at + kMinConfirmInterval - base::Now();
  if (waits > base::Duration(0)) {
    this->confirm_timer.Start(waits, [this] { this->SendConfirm(); });
  } else {
    this->SendConfirm();
  }
}

void ObjectWatcher::SendConfirm() {
  // There is nothing to confirm before the first list.
  if (!this->confirmed_at.has_value()) {
    return;
  }
  const base::Instant sent_at = base::Now();
  this->confirm_sent_at = sent_at;
  this->confirm_again = false;
  this->confirm_call = this->objects.Watch(
      this->kind, this->revision.revision, base::Milliseconds(0),
      [this, sent_at,
       from = this->revision](const platform::WatchResult& result) {
        const auto* answer = std::get_if<platform::ObjectChanges>(&result);
        const core::StoreRevision at =
            answer == nullptr ? core::StoreRevision()
                              : this->At(answer->revision, answer->era);
        // Of an older copy of the store nothing is known before the next list.
        const bool is_answered =
            answer != nullptr && at.Includes(from) && !this->IsOfOlderEra();
        if (is_answered && at.Includes(this->revision)) {
          this->ApplyChanges(*answer, at, sent_at);
        }
        this->OnConfirmed(is_answered, sent_at);
      });
}

void ObjectWatcher::OnConfirmed(bool is_answered, base::Instant sent_at) {
  this->confirm_call.reset();
  this->context.metrics.CountStoreCall(is_answered ? "answered" : "failed");
  if (this->confirm_again) {
    this->Confirm(this->on_confirmed);
  }
  if (is_answered) {
    this->NoteConfirmed(sent_at);
    // May set another one.
    const auto done = this->on_confirmed;
    done();
  }
}

void ObjectWatcher::ApplyPeerChanges(const platform::ObjectChanges& received) {
  // Changes of another era than this one's follow on other objects.
  const core::StoreRevision at{received.era.value_or(0), received.revision};
  if (!this->IsOfOlderEra() && at.Includes(this->revision) &&
      at != this->revision) {
    this->ApplyChanges(received, at, base::Now());
  }
}

void ObjectWatcher::ApplyChanges(const platform::ObjectChanges& received,
                                 const core::StoreRevision& at,
                                 base::Instant sent_at) {
  this->revision = std::max(this->revision, at);
  if (this->peers_revision <= this->revision) {
    this->lacking_since.reset();
  }
  if (this->keeps_log) {
    core::ObjectChangeRange range{this->revision, {}};
    for (const platform::ObjectChange& change : received.changes) {
      range.changes.push_back({change.object.name, change.object.revision,
                               change.removed, change.object.value->dump()});
    }
    this->change_log.Append(range);
  }
  std::vector<platform::ObjectChange> changes = received.changes;
  for (const platform::ObjectChange& change : changes) {
    if (change.removed) {
      this->hidden_revision = this->revision;
    }
  }
  this->DropListedChanges(changes);
  for (const platform::ObjectChange& change : changes) {
    this->newest_revision = std::max(
        this->newest_revision, {this->revision.era, change.object.revision});
  }
  this->hooks.on_changes(changes, sent_at);
}

void ObjectWatcher::DropListedChanges(
    std::vector<platform::ObjectChange>& changes) {
  std::erase_if(changes, [this](const platform::ObjectChange& change) {
    const auto found = this->listed_revisions.find(change.object.name);
    if (found == this->listed_revisions.end()) {
      return false;
    }
    // A removed object may have the revision of its last change.
    return change.removed ? change.object.revision < found->second
                          : change.object.revision <= found->second;
  });
  this->listed_revisions.clear();
}

void ObjectWatcher::RetryLater(const std::string& reason,
                               const core::UnansweredCall& failed,
                               std::function<void()> retry) {
  if (this->failures == 0) {
    this->context.journal.Write(base::LogLevel::kWarning, "store_lost",
                                {{"kind", this->kind}, {"reason", reason}});
  }
  this->context.metrics.CountStoreCall("failed");
  this->hooks.on_failure(failed);
  const int64_t doublings =
      std::min(std::max(this->failures, this->long_lists), kMaxDoublings);
  ++this->failures;
  this->failed_at = base::Now();
  this->activity = Activity::kBusy;
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const base::Duration wait = std::chrono::duration_cast<base::Duration>(
      std::min<base::Milliseconds>(kFirstRetryDelay * (int64_t{1} << doublings),
                                   kMaxRetryDelay) *
      jitter(this->context.generator));
  this->timer.Start(wait, std::move(retry));
}

void ObjectWatcher::LogFailedCall(const char* call,
                                  const platform::StoreCallFailed& failure,
                                  base::Instant sent_at) {
  this->context.journal.Write(
      base::LogLevel::kWarning, "store_call_failed",
      {{"kind", this->kind},
       {"call", call},
       {"reason", failure.reason},
       {"bytes", static_cast<int64_t>(failure.received_bytes)},
       {"ms", base::ToMilliseconds(base::Now() - sent_at)},
       {"failures", this->failures + 1}});
}

void ObjectWatcher::LogLowerRevision(const core::StoreRevision& answered,
                                     const core::StoreRevision& known) {
  if (answered.revision == 0 || answered.revision >= known.revision) {
    return;
  }
  this->context.metrics.CountStoreCall("revision_went_back");
  this->context.journal.Write(base::LogLevel::kWarning, "revision_went_back",
                              {{"kind", this->kind},
                               {"era", answered.era},
                               {"revision", answered.revision},
                               {"known", known.revision}});
}

void ObjectWatcher::NoteSuccess() {
  this->context.metrics.CountStoreCall("answered");
  this->hooks.on_answer();
  if (this->failures > 0) {
    this->context.journal.Write(
        base::LogLevel::kInfo, "store_regained",
        {{"kind", this->kind}, {"failures", this->failures}});
  }
  this->failures = 0;
}

}  // namespace carawayvalve::gateway
