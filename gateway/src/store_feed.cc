#include "store_feed.h"

#include <algorithm>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/platform/object_decoding.h"

namespace carawayvalve::gateway {

namespace {

// After the first failed call; doubles with each further one.
constexpr base::Milliseconds kFirstRetry(100);
constexpr base::Milliseconds kLastRetry(800);
constexpr int64_t kMaxDoublings = 3;
// Changes of backend servers are gathered for this long: less than half of the
// two seconds after which a draining one gets nothing more.
constexpr base::Milliseconds kGathering(800);
// Between two questions that are to be answered at once.
constexpr base::Milliseconds kAskInterval(1000);
// Peers usually prove more often how fresh the configuration is: the part of
// the time within which a withdrawn key must stop working.
constexpr double kRenewShare = 0.6;
// A peer's watch may be ahead of this one by so much.
constexpr base::Milliseconds kPeerLead(700);

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
      wait(context.state.settings.store.watch_wait) {}

void ObjectWatcher::List(const std::string& after) {
  const base::Instant asked = base::Now();
  if (after.empty()) {
    this->listed.clear();
    this->list_asked = asked;
  }
  this->call = this->objects.List(this->kind, after, false,
                                  [this](const platform::ListResult& result) {
                                    this->OnListed(result, this->list_asked);
                                  });
}

void ObjectWatcher::OnListed(const platform::ListResult& result,
                         base::Instant asked) {
  const auto* page = std::get_if<platform::ObjectPage>(&result);
  if (page == nullptr) {
    const auto* refused = std::get_if<platform::StoreRefused>(&result);
    const auto* silent = std::get_if<platform::StoreCallFailed>(&result);
    this->Retry(refused != nullptr ? "status " + std::to_string(refused->status)
                : silent != nullptr ? silent->reason
                                    : "history lost",
                [this] { this->List(""); });
    return;
  }
  this->listed.insert(this->listed.end(), page->objects.begin(),
                      page->objects.end());
  if (page->after.has_value()) {
    this->List(*page->after);
    return;
  }
  this->NoteSuccess();
  this->revision = page->revision;
  for (const platform::StoredObject& object : this->listed) {
    this->changed = std::max(this->changed, object.revision);
  }
  this->hooks.on_list(std::exchange(this->listed, {}), asked);
  this->Watch(this->wait);
}

void ObjectWatcher::NoteRevision(int64_t heard) {
  if (heard > this->revision && this->watching_since.has_value() &&
      base::Now() - *this->watching_since > kPeerLead) {
    this->Watch(this->wait);
  }
}

void ObjectWatcher::AskNow() {
  if (this->watching_since.has_value() &&
      base::Now() - *this->watching_since > kAskInterval) {
    this->Watch(base::Milliseconds(0));
  }
}

void ObjectWatcher::Watch(base::Milliseconds watch_wait) {
  const base::Instant asked = base::Now();
  this->watching_since = asked;
  this->call =
      this->objects.Watch(this->kind, this->revision, watch_wait,
                          [this, asked](const platform::WatchResult& result) {
                            this->OnWatched(result, asked);
                          });
}

void ObjectWatcher::OnWatched(const platform::WatchResult& result,
                          base::Instant asked) {
  this->watching_since.reset();
  if (const auto* changes = std::get_if<platform::ObjectChanges>(&result)) {
    this->NoteSuccess();
    this->revision = std::max(this->revision, changes->revision);
    for (const platform::ObjectChange& change : changes->changes) {
      this->changed = std::max(this->changed, change.object.revision);
    }
    this->hooks.on_changes(changes->changes, asked);
    if (changes->changes.empty() || this->gathering.count() == 0) {
      this->Watch(this->wait);
    } else {
      this->timer.Start(this->gathering, [this] { this->Watch(this->wait); });
    }
    return;
  }
  if (std::holds_alternative<platform::HistoryLost>(result)) {
    this->context.journal.Write(
        base::LogLevel::kWarning, "history_lost",
        {{"kind", this->kind}, {"revision", this->revision}});
    this->List("");
    return;
  }
  const auto* refused = std::get_if<platform::StoreRefused>(&result);
  this->Retry(refused != nullptr
                  ? "status " + std::to_string(refused->status)
                  : std::get<platform::StoreCallFailed>(result).reason,
              [this] { this->Watch(this->wait); });
}

void ObjectWatcher::Retry(const std::string& reason, std::function<void()> again) {
  if (this->failures == 0) {
    this->context.journal.Write(base::LogLevel::kWarning, "store_lost",
                                {{"kind", this->kind}, {"reason", reason}});
  }
  this->context.metrics.CountStoreCall("failed");
  this->hooks.on_failure(reason);
  const int64_t doublings = std::min(this->failures, kMaxDoublings);
  ++this->failures;
  std::uniform_real_distribution<double> spread(0.5, 1.0);
  const base::Duration wait = std::chrono::duration_cast<base::Duration>(
      std::min<base::Milliseconds>(kFirstRetry * (int64_t{1} << doublings),
                                   kLastRetry) *
      spread(this->context.generator));
  this->timer.Start(wait, std::move(again));
}

void ObjectWatcher::NoteSuccess() {
  this->context.metrics.CountStoreCall("answered");
  if (this->failures > 0) {
    this->context.journal.Write(
        base::LogLevel::kInfo, "store_regained",
        {{"kind", this->kind}, {"failures", this->failures}});
  }
  this->failures = 0;
}

StoreFeed::StoreFeed(Context& context, platform::ObjectClient& objects)
    : context(context),
      configuration(context,
                    objects,
                    platform::kConfigurationKind,
                    {[this](const auto& listed, base::Instant asked) {
                       for (const platform::StoredObject& object : listed) {
                         this->TakeConfiguration(object);
                       }
                       this->context.state.key_freshness.NoteStoreAnswer(asked);
                     },
                     [this](const auto& changes, base::Instant asked) {
                       for (const platform::ObjectChange& change : changes) {
                         if (!change.removed) {
                           this->TakeConfiguration(change.object);
                         }
                       }
                       this->context.state.key_freshness.NoteStoreAnswer(asked);
                     },
                     [](const std::string&) {}}),
      backends(
          context,
          objects,
          platform::kBackendServerKind,
          {[this](const auto& listed, base::Instant) {
             std::vector<core::BackendEntry> entries;
             for (const platform::StoredObject& object : listed) {
               std::string reason;
               if (auto entry = platform::DecodeBackendEntry(object, reason)) {
                 entries.push_back(std::move(*entry));
               }
             }
             const base::Instant now = base::Now();
             this->context.state.directory.NoteList(entries, now);
             for (const platform::StoredObject& object : listed) {
               this->TakeBackend(object);
             }
           },
           [this](const auto& changes, base::Instant) {
             for (const platform::ObjectChange& change : changes) {
               if (change.removed) {
                 this->RemoveBackend({change.object.name}, "removed");
               } else {
                 this->TakeBackend(change.object);
               }
             }
           },
           [this](const std::string&) {
             this->context.state.directory.NoteStoreFailure(base::Now());
           }}) {}

void StoreFeed::Start() {
  this->backends.SetGathering(kGathering);
  this->configuration.Start();
  this->backends.Start();
}

void StoreFeed::RenewProof(base::Instant now) {
  const GatewayState& state = this->context.state;
  const auto age = state.key_freshness.Age(now);
  if (age.has_value() &&
      *age > state.settings.bounds.key_withdrawal * kRenewShare) {
    this->configuration.AskNow();
  }
}

void StoreFeed::TakeConfiguration(const platform::StoredObject& object) {
  if (object.name == platform::kConfigurationName) {
    this->ApplyPlan(object.value, "store");
  }
}

void StoreFeed::ApplyPlan(const std::shared_ptr<const nlohmann::json>& value,
                         const std::string& source) {
  try {
    const config::ServingPlan decoded = platform::DecodePlan(*value);
    if (this->context.state.ApplyPlan(decoded)) {
      this->plan = value;
      this->context.journal.Write(base::LogLevel::kInfo, "plan_taken",
                                  {{"version", decoded.version},
                                   {"routes", decoded.routes.size()},
                                   {"accounts", decoded.accounts.size()},
                                   {"source", source}});
    }
  } catch (const base::Error& error) {
    this->context.journal.Write(
        base::LogLevel::kError, "plan_unreadable",
        {{"source", source}, {"reason", error.reason()}});
  }
}

void StoreFeed::TakeBackend(const platform::StoredObject& object) {
  std::string reason;
  const auto entry = platform::DecodeBackendEntry(object, reason);
  GatewayState& state = this->context.state;
  if (!entry.has_value()) {
    this->context.journal.Write(base::LogLevel::kWarning, "backend_unreadable",
                                {{"backend", object.name}, {"reason", reason}});
    return;
  }
  const core::BackendEntry* known = state.directory.Find(entry->id);
  const bool restarted =
      known != nullptr && known->started_ms != entry->started_ms;
  const bool changed = known == nullptr || *known != *entry;
  if (restarted) {
    state.NoteBackendCrash(entry->id, base::Now());
    state.prefix_caches.Forget(entry->id);
    state.health.Forget(entry->id);
  }
  if (known != nullptr && known->role != entry->role) {
    state.health.NoteRoleChangeDone(entry->id);
    state.changing_roles.erase(entry->id);
  }
  state.directory.NoteEntry(*entry);
  if (changed || restarted) {
    this->context.journal.Write(
        base::LogLevel::kInfo, "backend_known",
        {{"backend", entry->id.value},
         {"service", entry->service.value},
         {"draining", entry->draining},
         {"role", entry->role == config::EngineRole::kPrefill ? "prefill" : ""},
         {"restarted", restarted},
         {"revision", object.revision}});
  }
}

void StoreFeed::RemoveBackend(const base::BackendServerId& id,
                              const char* cause) {
  GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  state.directory.NoteRemoved(id, now);
  const bool gone = state.directory.Find(id) == nullptr;
  if (gone) {
    state.NoteBackendCrash(id, now);
    state.prefix_caches.Forget(id);
    state.health.Forget(id);
  }
  this->context.journal.Write(
      base::LogLevel::kInfo, "backend_removed",
      {{"backend", id.value}, {"cause", cause}, {"gone", gone}});
}

void StoreFeed::ExpireBackends() {
  GatewayState& state = this->context.state;
  for (const base::BackendServerId& id :
       state.directory.Expire(base::Now())) {
    state.prefix_caches.Forget(id);
    state.health.Forget(id);
    this->context.journal.Write(
        base::LogLevel::kInfo, "backend_removed",
        {{"backend", id.value}, {"cause", "lapsed"}, {"gone", true}});
  }
}

}  // namespace carawayvalve::gateway
