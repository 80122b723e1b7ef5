#include "recent_store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/core/entry_name.h"
#include "carawayvalve/platform/object_decoding.h"
#include "recent_state_format.h"

namespace carawayvalve::gateway {

namespace {

constexpr char kRecentKind[] = "carawayvalve-recent";
// Well under the interval of the calls.
constexpr base::Milliseconds kStepInterval(50);
// A reading isn't tried again for this time after one that failed.
constexpr base::Milliseconds kReadRetryDelay(500);
// Callers take streams up, and windows are reported, within this time. Clocks
// may differ by the error.
constexpr std::chrono::seconds kMaxAge(60);
constexpr std::chrono::seconds kClockError(5);
// Longer than callers take streams up.
constexpr std::chrono::seconds kVersionsTime(300);
// The newest windows whose counts are stored; older ones are sealed.
constexpr int64_t kWindowsStored = 2;
// The same of those that are read: all that may be reported yet.
constexpr int64_t kWindowsRead = 4;

std::string NameOf(int64_t slot) {
  return "recent-" + std::to_string(slot);
}

}  // namespace

RecentStore::RecentStore(Context& context,
                         platform::ObjectClient& objects,
                         const StoreFeed& feed)
    : context(context), objects(objects), feed(feed), timer(context.loop) {}

void RecentStore::Start() {
  this->timer.Start(kStepInterval, [this] {
    this->Start();
    this->Step();
  });
}

void RecentStore::Step() {
  GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  if (!state.recent_state.IsDue(now)) {
    return;
  }
  const base::Duration wall_time = state.wall_clock.At(now);
  const int64_t window =
      wall_time / base::Duration(state.settings.duties.usage_window);
  const auto action = state.recent_state.Step(
      {state.usage, window - kWindowsStored + 1,
       state.directory.RecentVersions(kVersionsTime, now),
       this->feed.registry_read_to(), wall_time},
      now);
  if (action.has_value()) {
    this->Write(*action);
  }
}

void RecentStore::Write(const core::StoreRecentState& action) {
  if (this->creates && !this->existing.contains(NameOf(action.slot))) {
    this->Create(action);
    return;
  }
  this->write_call = this->objects.Replace(
      kRecentKind, NameOf(action.slot), std::nullopt,
      PrintRecentState(action.state),
      [this, action](const platform::WriteResult& result) {
        if (std::holds_alternative<platform::ObjectNotFound>(result)) {
          this->creates = true;
          this->Create(action);
        } else {
          this->OnWritten(action, result);
        }
      });
}

void RecentStore::Create(const core::StoreRecentState& action) {
  this->write_call = this->objects.Create(
      kRecentKind, NameOf(action.slot), PrintRecentState(action.state),
      [this, action](const platform::WriteResult& result) {
        this->OnWritten(action, result);
      });
}

void RecentStore::OnWritten(const core::StoreRecentState& action,
                            const platform::WriteResult& result) {
  core::RecentStateSchedule& schedule = this->context.state.recent_state;
  if (std::holds_alternative<platform::StoredObject>(result)) {
    schedule.NoteStored(action.call);
    this->existing.insert(NameOf(action.slot));
    this->context.metrics.CountRecentState("stored");
    this->context.journal.Write(base::LogLevel::kInfo, "recent_state_stored",
                                {{"object", NameOf(action.slot)},
                                 {"streams", action.state.origins.size()},
                                 {"counts", action.state.counts.size()},
                                 {"waiting", schedule.pending()}});
    return;
  }
  if (std::holds_alternative<platform::WriteConflict>(result)) {
    this->creates = false;
    this->existing.insert(NameOf(action.slot));
  }
  schedule.NoteFailed(action.call);
  this->context.metrics.CountRecentState("store_failed");
  this->context.journal.Write(
      base::LogLevel::kWarning, "recent_state_unstored",
      {{"object", NameOf(action.slot)}, {"waiting", schedule.pending()}});
}

void RecentStore::Read(ReadHandler handler) {
  const base::Instant now = base::Now();
  if (this->read_failed_at.has_value() &&
      now - *this->read_failed_at < kReadRetryDelay) {
    handler(false);
    return;
  }
  this->readers.push_back(std::move(handler));
  if (this->readers.size() == 1) {
    this->list_sent_at = now;
    this->listed.clear();
    this->ListStored("");
  }
}

void RecentStore::ListStored(const std::string& after) {
  this->read_call = this->objects.List(
      kRecentKind, after, false,
      [this](const platform::ListResult& result) { this->OnListed(result); });
}

void RecentStore::OnListed(const platform::ListResult& result) {
  const auto* page = std::get_if<platform::ObjectPage>(&result);
  if (page == nullptr) {
    this->read_failed_at = base::Now();
    this->FinishRead(false);
    return;
  }
  for (const platform::StoredObject& object : page->objects) {
    if (!core::IsEntryName(object.name)) {
      this->context.NoteOddEntry("recent_state_unreadable", kRecentKind,
                                 object.name, "no gateway writes such a name");
      continue;
    }
    this->existing.insert(object.name);
    if (auto stored = ParseRecentState(*object.value)) {
      this->listed.push_back(std::move(*stored));
    }
  }
  if (page->after.has_value()) {
    this->ListStored(*page->after);
    return;
  }
  this->Apply();
}

void RecentStore::Apply() {
  GatewayState& state = this->context.state;
  const base::Duration wall_time = state.wall_clock.At(base::Now());
  std::optional<core::RecentState> newest;
  for (core::RecentState& stored : std::exchange(this->listed, {})) {
    if (wall_time - stored.written > kMaxAge ||
        stored.written - wall_time > kClockError) {
      continue;
    }
    this->Apply(stored,
                std::max(wall_time - stored.written, base::Duration(0)));
    // In between the store may have lost registrations without a trace.
    const bool is_of_this_era =
        stored.registry_revision.era == this->feed.registry_read_to().era;
    if (stored.registry_revision.revision > 0 && is_of_this_era &&
        (!newest.has_value() || newest->written < stored.written)) {
      newest = std::move(stored);
    }
  }
  state.stored_read = this->list_sent_at;
  this->context.origin_lookup.NoteLearned();
  if (newest.has_value() && this->feed.registry_read_to().revision > 0) {
    this->ReadRegistrySince(*newest);
  } else {
    this->FinishRead(true);
  }
}

void RecentStore::Apply(const core::RecentState& stored, base::Duration age) {
  GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  for (core::StreamOrigin origin : stored.origins) {
    origin.age += age;
    state.stream_origins.Note(origin, now);
  }
  const int64_t window = state.wall_clock.At(now) /
                         base::Duration(state.settings.duties.usage_window);
  for (const core::WindowCountsPart& part : stored.counts) {
    if (part.window > window - kWindowsRead && part.window <= window) {
      state.usage.Merge(part);
    }
  }
}

void RecentStore::ReadRegistrySince(const core::RecentState& stored) {
  this->read_call = this->objects.Watch(
      platform::kBackendServerKind, stored.registry_revision.revision,
      base::Milliseconds(0),
      [this, stored](const platform::WatchResult& result) {
        this->OnRegistryRead(stored, result);
        this->FinishRead(true);
      });
}

void RecentStore::OnRegistryRead(const core::RecentState& stored,
                                 const platform::WatchResult& result) {
  GatewayState& state = this->context.state;
  const auto* changes = std::get_if<platform::ObjectChanges>(&result);
  if (changes == nullptr) {
    return;
  }
  const core::StoreRevision& read_to = this->feed.registry_read_to();
  const core::StoreRevision at{changes->era.value_or(read_to.era),
                               changes->revision};
  if (!at.Includes(read_to) || at.era != stored.registry_revision.era) {
    return;
  }
  const base::Instant now = base::Now();
  core::VersionHistory& versions = state.directory.version_history();
  const base::Duration age = state.wall_clock.At(now) - stored.written;
  versions.Extend(stored.versions, age, now);
  for (const platform::ObjectChange& change : changes->changes) {
    std::string reason;
    const auto entry = platform::DecodeBackendEntry(change.object, reason);
    if (entry.has_value()) {
      versions.NoteVersion(entry->service, entry->software_version, now);
    } else if (change.removed) {
      // Any of the versions may have been there until now.
      for (const auto& [service, known] : stored.versions) {
        for (const auto& [version, version_age] : known.ages) {
          versions.NoteVersion(service, version, now);
        }
      }
    }
  }
}

void RecentStore::FinishRead(bool is_complete) {
  this->context.metrics.CountRecentState(is_complete ? "read" : "read_failed");
  this->context.journal.Write(
      is_complete ? base::LogLevel::kInfo : base::LogLevel::kWarning,
      is_complete ? "recent_state_read" : "recent_state_unread",
      {{"streams", this->context.state.stream_origins.size()},
       {"readers", this->readers.size()}});
  for (const ReadHandler& reader : std::exchange(this->readers, {})) {
    reader(is_complete);
  }
  this->context.origin_lookup.NoteLearned();
}

}  // namespace carawayvalve::gateway
