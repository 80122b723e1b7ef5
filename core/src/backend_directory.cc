#include "carawayvalve/core/backend_directory.h"

namespace carawayvalve::core {

bool BackendDirectory::InGracePeriod(base::Instant now) const {
  return this->store_failed_at.has_value() &&
         now - *this->store_failed_at < this->grace_period;
}

void BackendDirectory::NoteList(const std::vector<BackendEntry>& entries,
                                base::Instant now) {
  std::set<base::BackendServerId> listed;
  for (const BackendEntry& entry : entries) {
    listed.insert(entry.id);
    this->NoteEntry(entry);
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
  this->known[entry.id] = entry;
  this->lapsed.erase(entry.id);
}

void BackendDirectory::NoteRemoved(const base::BackendServerId& id,
                                   base::Instant now) {
  const auto found = this->known.find(id);
  if (found == this->known.end()) {
    return;
  }
  // A draining backend server is expected to leave, so its removal isn't
  // treated as a lapse.
  if (this->InGracePeriod(now) && !found->second.draining) {
    this->lapsed.emplace(id, now);
    return;
  }
  this->known.erase(found);
  this->lapsed.erase(id);
}

std::vector<base::BackendServerId> BackendDirectory::Expire(base::Instant now) {
  std::vector<base::BackendServerId> expired;
  if (this->InGracePeriod(now)) {
    return expired;
  }
  for (const auto& [id, since] : this->lapsed) {
    this->known.erase(id);
    expired.push_back(id);
  }
  this->lapsed.clear();
  return expired;
}

const BackendEntry* BackendDirectory::Find(
    const base::BackendServerId& id) const {
  const auto found = this->known.find(id);
  return found == this->known.end() ? nullptr : &found->second;
}

}  // namespace carawayvalve::core
