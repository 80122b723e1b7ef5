#include "carawayvalve/core/backend_directory.h"

#include <utility>

namespace carawayvalve::core {

namespace {

// Beyond this number the oldest records of leaving or removed backend servers
// are evicted.
constexpr size_t kMaxLeaving = 8192;
// An older copy of the store holds no entry that was removed longer ago.
constexpr std::chrono::seconds kRemovedTime(60);
// The entry of a run that is gone is removed again within this time after the
// store came back: after three missing heartbeats.
constexpr std::chrono::seconds kReturnTime(5);

}  // namespace

void LeavingBackends::Note(const LeavingBackend& left) {
  const auto found = this->by_id.find(left.id);
  if (found != this->by_id.end()) {
    this->by_time.erase({found->second.noted, left.id});
  }
  this->by_id[left.id] = left;
  this->by_time.insert({left.noted, left.id});
  if (this->by_id.size() > kMaxLeaving) {
    this->RemoveOldest();
  }
}

const LeavingBackend* LeavingBackends::Find(
    const base::BackendServerId& id) const {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : &found->second;
}

void LeavingBackends::RemoveBefore(base::Instant time) {
  while (!this->by_time.empty() && this->by_time.begin()->first < time) {
    this->RemoveOldest();
  }
}

void LeavingBackends::RemoveOldest() {
  const auto oldest = this->by_time.begin();
  this->by_id.erase(oldest->second);
  this->by_time.erase(oldest);
}

std::vector<LeavingBackend> LeavingBackends::Since(base::Instant time) const {
  std::vector<LeavingBackend> recent;
  for (auto at = this->by_time.rbegin();
       at != this->by_time.rend() && at->first >= time; ++at) {
    recent.push_back(this->by_id.at(at->second));
  }
  return recent;
}

void BackendDirectory::NoteList(const std::vector<BackendEntry>& entries,
                                base::Instant now) {
  std::set<base::BackendServerId> listed;
  for (const BackendEntry& entry : entries) {
    listed.insert(entry.id);
    this->NoteEntry(entry);
  }
  this->KeepOnly(listed, now);
}

void BackendDirectory::NoteListedEntry(const BackendEntry& entry) {
  this->listing_first = !this->has_list;
  const bool is_new =
      !this->known.contains(entry.id) || this->newly_listed.contains(entry.id);
  this->NoteEntry(entry);
  if (is_new) {
    this->newly_listed.insert(entry.id);
  }
  if (this->WasRemoved(entry)) {
    this->held.insert(entry.id);
    this->known[entry.id].draining = true;
  }
}

std::vector<base::BackendServerId> BackendDirectory::DropNewlyListed() {
  std::vector<base::BackendServerId> dropped;
  for (const base::BackendServerId& id :
       std::exchange(this->newly_listed, {})) {
    if (this->known.erase(id) > 0) {
      dropped.push_back(id);
    }
    this->held.erase(id);
    this->lapsed.erase(id);
  }
  return dropped;
}

void BackendDirectory::NoteOlderStore(base::Instant now) {
  this->older_store_at = now;
  this->removed.RemoveBefore(now - kRemovedTime);
}

bool BackendDirectory::WasRemoved(const BackendEntry& entry) const {
  const LeavingBackend* found = this->removed.Find(entry.id);
  return this->older_store_at.has_value() && found != nullptr &&
         entry.started_ms <= found->started_ms;
}

void BackendDirectory::Remove(
    std::map<base::BackendServerId, BackendEntry>::iterator entry,
    base::Instant now) {
  this->removed.Note({entry->first, entry->second.started_ms, now});
  this->held.erase(entry->first);
  this->known.erase(entry);
}

void BackendDirectory::ReleaseHeld(base::Instant now) {
  if (!this->older_store_at.has_value() ||
      now - *this->older_store_at < kReturnTime) {
    return;
  }
  this->older_store_at.reset();
  for (const base::BackendServerId& id : std::exchange(this->held, {})) {
    const auto found = this->known.find(id);
    if (found != this->known.end()) {
      found->second.draining = this->IsLeaving(id, found->second.started_ms);
    }
  }
}

void BackendDirectory::KeepOnly(const std::set<base::BackendServerId>& listed,
                                base::Instant now) {
  this->listing_first = false;
  this->newly_listed.clear();
  // Backend servers may have come and gone between two lists.
  if (std::exchange(this->has_list, true)) {
    this->versions.NoteGap(now);
  }
  std::vector<base::BackendServerId> missing;
  for (const auto& [id, entry] : this->known) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const base::BackendServerId& id : missing) {
    this->NoteRemoved(id, now);
  }
}

void BackendDirectory::NoteEntry(const BackendEntry& entry) {
  BackendEntry& kept = this->known[entry.id];
  this->NoteVersionOf(kept);
  kept = entry;
  kept.draining = entry.draining || this->IsLeaving(entry.id, entry.started_ms);
  this->held.erase(entry.id);
  this->lapsed.erase(entry.id);
  this->newly_listed.erase(entry.id);
  this->NoteVersionOf(entry);
}

void BackendDirectory::NoteVersionOf(const BackendEntry& entry) {
  if (!entry.id.empty()) {
    this->new_versions.insert({entry.service, entry.software_version});
  }
}

bool BackendDirectory::IsLeaving(const base::BackendServerId& id,
                                 int64_t started_ms) const {
  const LeavingBackend* found = this->leaving.Find(id);
  return found != nullptr && started_ms <= found->started_ms;
}

bool BackendDirectory::NoteLeaving(const base::BackendServerId& id,
                                   int64_t started_ms,
                                   base::Instant now) {
  if (this->IsLeaving(id, started_ms)) {
    return false;
  }
  this->leaving.Note({id, started_ms, now});
  const auto entry = this->known.find(id);
  if (entry != this->known.end() &&
      this->IsLeaving(id, entry->second.started_ms)) {
    entry->second.draining = true;
  }
  return true;
}

std::vector<LeavingBackend> BackendDirectory::LeavingSince(
    base::Instant since) const {
  return this->leaving.Since(since);
}

void BackendDirectory::NoteRemoved(const base::BackendServerId& id,
                                   base::Instant now) {
  const auto found = this->known.find(id);
  if (found == this->known.end()) {
    return;
  }
  // A draining backend server is expected to leave, so its removal isn't
  // treated as a lapse.
  if (this->outage.MayHaveExpired(now) && !found->second.draining) {
    this->lapsed.emplace(id, now);
    return;
  }
  // It may have been there until now.
  this->NoteVersionOf(found->second);
  this->lapsed.erase(id);
  this->Remove(found, now);
}

void BackendDirectory::NoteVersions(base::Instant now) {
  for (const auto& [id, entry] : this->known) {
    this->versions.NoteVersion(entry.service, entry.software_version, now);
  }
  for (const auto& [service, version] : std::exchange(this->new_versions, {})) {
    this->versions.NoteVersion(service, version, now);
  }
}

std::map<base::ServiceId, ServiceVersions> BackendDirectory::RecentVersions(
    base::Duration time,
    base::Instant now) {
  this->NoteVersions(now);
  return this->versions.Recent(time, now);
}

std::vector<base::BackendServerId> BackendDirectory::Expire(base::Instant now) {
  std::vector<base::BackendServerId> expired;
  this->NoteVersions(now);
  this->ReleaseHeld(now);
  if (this->outage.MayHaveExpired(now)) {
    return expired;
  }
  for (const auto& [id, since] : this->lapsed) {
    const auto found = this->known.find(id);
    if (found != this->known.end()) {
      this->Remove(found, now);
    }
    expired.push_back(id);
  }
  this->lapsed.clear();
  return expired;
}

std::optional<std::string> BackendDirectory::OnlyVersionPresent(
    const base::ServiceId& service) const {
  std::set<std::string> present;
  for (const auto& [id, entry] : this->known) {
    if (entry.service == service) {
      present.insert(entry.software_version);
    }
  }
  for (const auto& [of, version] : this->new_versions) {
    if (of == service) {
      present.insert(version);
    }
  }
  return present.size() == 1 ? std::optional(*present.begin()) : std::nullopt;
}

std::optional<std::string> BackendDirectory::OnlyVersion(
    const base::ServiceId& service,
    base::Duration time,
    base::Instant now) const {
  if (this->listing_first) {
    return std::nullopt;
  }
  auto present = this->OnlyVersionPresent(service);
  if (!present.has_value() || time.count() == 0) {
    return present;
  }
  const bool was_only = this->is_current && !this->versions.MayHaveOther(
                                                service, *present, time, now);
  return was_only ? present : std::nullopt;
}

const BackendEntry* BackendDirectory::Find(
    const base::BackendServerId& id) const {
  const auto found = this->known.find(id);
  return found == this->known.end() ? nullptr : &found->second;
}

}  // namespace carawayvalve::core
