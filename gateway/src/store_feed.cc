#include "store_feed.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/base/json_difference.h"
#include "carawayvalve/core/entry_name.h"
#include "carawayvalve/platform/object_decoding.h"

namespace carawayvalve::gateway {

namespace {

// Changes of backend servers are batched for this long: less than half of the
// two seconds after which a draining backend server must get no more requests.
constexpr base::Milliseconds kBatchDelay(800);
// The store is polled once the last confirmation is older than this fraction of
// the time within which a withdrawn key must stop working. Answers of peers
// usually renew the confirmation earlier.
constexpr double kRenewAgeFraction = 0.6;

}  // namespace

StoreFeed::StoreFeed(Context& context, platform::ObjectClient& objects)
    : context(context),
      configuration(
          context,
          objects,
          platform::kConfigurationKind,
          {[this](const auto& page) {
             for (const platform::StoredObject& object : page) {
               this->ApplyConfiguration(object);
             }
           },
           [] {},
           [this](base::Instant sent_at) {
             this->context.state.key_freshness.NoteStoreAnswer(sent_at);
           },
           [this](const auto& changes, base::Instant sent_at) {
             for (const platform::ObjectChange& change : changes) {
               if (!change.removed) {
                 this->ApplyConfiguration(change.object);
               }
             }
             this->context.state.key_freshness.NoteStoreAnswer(sent_at);
           },
           [](const core::UnansweredCall&) {}, [] {}, [] {}}),
      backends(context,
               objects,
               platform::kBackendServerKind,
               {[this](const auto& page) {
                  for (const platform::StoredObject& object : page) {
                    this->ApplyBackend(object, true);
                  }
                },
                [this] { this->OnListAbandoned(); },
                [this](base::Instant) { this->OnAllBackendsListed(); },
                [this](const auto& changes, base::Instant) {
                  for (const platform::ObjectChange& change : changes) {
                    if (change.removed) {
                      this->OnRemoved(change.object.name);
                    } else {
                      this->ApplyBackend(change.object, false);
                    }
                  }
                  this->UpdateCurrent();
                },
                [this](const core::UnansweredCall& call) {
                  this->OnBackendsUnanswered(call);
                },
                [this] {
                  this->context.state.directory.store_outage().NoteAnswer(
                      base::Now());
                },
                [this] { this->OnOlderStore(); }}) {
  objects.SetEraHandler(
      [this](int64_t era) { this->context.NoteStoreEra(era, "store"); });
}

void StoreFeed::Start() {
  this->backends.SetBatchDelay(kBatchDelay);
  this->backends.KeepLog();
  this->configuration.Start();
  this->backends.Start();
}

void StoreFeed::RenewFreshness(base::Instant now) {
  const GatewayState& state = this->context.state;
  const auto age = state.key_freshness.Age(now);
  if (age.has_value() &&
      *age > state.settings.bounds.key_withdrawal * kRenewAgeFraction) {
    this->configuration.PollNow();
  }
  this->configuration.Renew(now);
  this->backends.Renew(now);
}

void StoreFeed::NoteRegistryConfirmed(base::Instant at) {
  if (!this->backends.IsBehind()) {
    this->backends.NoteConfirmed(at);
    this->UpdateCurrent();
  }
}

void StoreFeed::ApplyConfiguration(const platform::StoredObject& object) {
  if (object.name == platform::kConfigurationName) {
    this->plan_unreadable =
        !object.fault.empty() || !this->ApplyPlan(object.value, "store");
    if (this->plan_unreadable) {
      this->configuration.ListAgain();
    } else {
      this->context.NoteReadable(platform::kConfigurationKind, object.name);
    }
  }
}

std::optional<core::StoreRevision> StoreFeed::plan_revision() const {
  const core::StoreRevision& read_to = this->configuration.received_revision();
  const bool is_known = this->plan != nullptr && !this->plan_unreadable &&
                        read_to.revision > 0 &&
                        read_to.era == this->context.state.store_era;
  return is_known ? std::optional(read_to) : std::nullopt;
}

bool StoreFeed::ApplyPlan(const std::shared_ptr<const nlohmann::json>& value,
                          const std::string& source,
                          const std::vector<core::PlanChange>& changes) {
  try {
    const config::ServingPlan decoded = platform::DecodePlan(*value);
    const auto before = this->context.state.table;
    if (this->context.state.ApplyPlan(decoded)) {
      if (before != nullptr && this->plan != nullptr) {
        this->LogPlanChanges(before->version(), *value, changes);
      }
      this->plan = value;
      this->context.journal.Write(base::LogLevel::kInfo, "plan_taken",
                                  {{"version", decoded.version},
                                   {"routes", decoded.routes.size()},
                                   {"accounts", decoded.accounts.size()},
                                   {"source", source}});
    }
    return true;
  } catch (const base::Error& error) {
    this->context.journal.Write(
        base::LogLevel::kError, "plan_unreadable",
        {{"source", source}, {"reason", error.reason()}});
    return false;
  }
}

void StoreFeed::LogPlanChanges(int64_t version,
                               const nlohmann::json& value,
                               const std::vector<core::PlanChange>& changes) {
  for (const core::PlanChange& change : changes) {
    this->plan_changes.Append(change);
  }
  if (changes.empty()) {
    this->plan_changes.Append(
        {version, this->context.state.table->version(),
         base::PrintJson(base::DifferenceBetween(*this->plan, value))});
  }
}

void StoreFeed::OnBackendsUnanswered(const core::UnansweredCall& call) {
  core::BackendDirectory& directory = this->context.state.directory;
  directory.store_outage().NoteUnanswered(
      call, this->backends.confirmed().value_or(call.sent_at), base::Now());
  directory.SetCurrent(false);
}

void StoreFeed::OnOlderStore() {
  core::BackendDirectory& directory = this->context.state.directory;
  directory.store_outage().NoteReturn(base::Now());
  directory.NoteOlderStore(base::Now());
  directory.SetCurrent(false);
}

void StoreFeed::OnListAbandoned() {
  const auto listed = std::exchange(this->listed_backends, {});
  const auto dropped = this->context.state.directory.DropNewlyListed();
  for (const base::BackendServerId& id : dropped) {
    this->ForgetBackend(id);
  }
  this->context.journal.Write(base::LogLevel::kWarning,
                              "backend_list_abandoned",
                              {{"count", static_cast<int64_t>(listed.size())},
                               {"dropped", dropped.size()}});
}

void StoreFeed::OnAllBackendsListed() {
  const auto listed = std::exchange(this->listed_backends, {});
  this->context.state.directory.KeepOnly(listed, base::Now());
  this->UpdateCurrent();
  this->context.journal.Write(
      base::LogLevel::kInfo, "backends_listed",
      {{"count", static_cast<int64_t>(listed.size())},
       {"revision", this->registry_revision().revision}});
}

void StoreFeed::ApplyBackend(const platform::StoredObject& object,
                             bool from_list) {
  std::string reason;
  const auto entry = platform::DecodeBackendEntry(object, reason);
  GatewayState& state = this->context.state;
  if (!entry.has_value()) {
    this->context.NoteOddEntry("backend_unreadable",
                               platform::kBackendServerKind, object.name,
                               reason);
    if (state.directory.Find({object.name}) != nullptr) {
      this->RemoveBackend({object.name}, "unreadable");
    }
    return;
  }
  this->context.NoteReadable(platform::kBackendServerKind, object.name);
  if (from_list) {
    this->listed_backends.insert(entry->id);
  }
  const core::BackendEntry* previous = state.directory.Find(entry->id);
  const bool restarted =
      previous != nullptr && previous->started_ms != entry->started_ms;
  const bool changed = previous == nullptr ? !from_list : *previous != *entry;
  if (restarted) {
    this->context.NoteBackendCrash(entry->id, "restarted");
    state.prefix_caches.Forget(entry->id);
    state.health.Forget(entry->id);
    state.reported_load.Forget(entry->id);
  }
  // An older copy of the store may show this run as it was before.
  if (entry->draining) {
    state.directory.NoteLeaving(entry->id, entry->started_ms, base::Now());
  }
  if (previous != nullptr && previous->role != entry->role) {
    state.health.NoteRoleChangeDone(entry->id);
    state.changing_roles.erase(entry->id);
  }
  if (from_list) {
    state.directory.NoteListedEntry(*entry);
  } else {
    state.directory.NoteEntry(*entry);
  }
  if (changed || restarted) {
    this->context.journal.Write(
        base::LogLevel::kInfo, "backend_known",
        {{"backend", entry->id.value},
         {"service", entry->service.value},
         {"version", entry->software_version},
         {"draining", entry->draining},
         {"role", entry->role == config::EngineRole::kPrefill ? "prefill" : ""},
         {"restarted", restarted},
         {"revision", object.revision}});
  }
}

void StoreFeed::OnRemoved(const std::string& name) {
  this->context.NoteReadable(platform::kBackendServerKind, name);
  if (core::IsEntryName(name)) {
    this->RemoveBackend({name}, "removed");
  }
}

void StoreFeed::ForgetBackend(const base::BackendServerId& id) {
  GatewayState& state = this->context.state;
  state.prefix_caches.Forget(id);
  state.health.Forget(id);
  state.reported_load.Forget(id);
  state.rate_limits.Forget(id);
}

void StoreFeed::RemoveBackend(const base::BackendServerId& id,
                              const char* cause) {
  GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  state.directory.NoteRemoved(id, now);
  const bool dropped = state.directory.Find(id) == nullptr;
  if (dropped) {
    this->context.NoteBackendCrash(id, "removed");
    this->ForgetBackend(id);
  }
  this->context.journal.Write(
      base::LogLevel::kInfo, "backend_removed",
      {{"backend", id.value}, {"cause", cause}, {"gone", dropped}});
}

void StoreFeed::ExpireBackends() {
  GatewayState& state = this->context.state;
  for (const base::BackendServerId& id : state.directory.Expire(base::Now())) {
    this->ForgetBackend(id);
    this->context.journal.Write(
        base::LogLevel::kInfo, "backend_removed",
        {{"backend", id.value}, {"cause", "lapsed"}, {"gone", true}});
  }
}

}  // namespace carawayvalve::gateway
