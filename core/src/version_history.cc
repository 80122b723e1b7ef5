#include "carawayvalve/core/version_history.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

// The clocks of the process that wrote a record and of the one that reads it
// may differ by so much. A version counts as seen that much later, and the
// versions as known for that much less.
constexpr std::chrono::seconds kClockError(5);

}  // namespace

void VersionHistory::NoteVersion(const base::ServiceId& service,
                                 const std::string& version,
                                 base::Instant now) {
  Service& known =
      this->services.try_emplace(service, Service{now, {}}).first->second;
  base::Instant& seen = known.last_seen.try_emplace(version, now).first->second;
  seen = std::max(seen, now);
}

void VersionHistory::NoteGap(base::Instant now) {
  for (auto& [id, service] : this->services) {
    service.known_since = now;
  }
}

void VersionHistory::Extend(
    const std::map<base::ServiceId, ServiceVersions>& earlier,
    base::Duration age,
    base::Instant now) {
  const base::Instant noted = now - std::max(age, base::Duration(0));
  for (const auto& [id, recorded] : earlier) {
    Service& known =
        this->services.try_emplace(id, Service{now, {}}).first->second;
    const base::Instant known_since =
        noted - std::max(recorded.known_for - kClockError, base::Duration(0));
    known.known_since = std::min(known.known_since, known_since);
    for (const auto& [version, version_age] : recorded.ages) {
      const base::Instant seen =
          std::min(now, noted - version_age + kClockError);
      base::Instant& latest =
          known.last_seen.try_emplace(version, seen).first->second;
      latest = std::max(latest, seen);
    }
  }
}

bool VersionHistory::MayHaveOther(const base::ServiceId& service,
                                  const std::string& version,
                                  base::Duration time,
                                  base::Instant now) const {
  const auto found = this->services.find(service);
  if (found == this->services.end() || now - found->second.known_since < time) {
    return true;
  }
  const auto& versions = found->second.last_seen;
  return std::any_of(versions.begin(), versions.end(), [&](const auto& seen) {
    return seen.first != version && now - seen.second < time;
  });
}

bool VersionHistory::MayHaveSeveral(const base::ServiceId& service,
                                    base::Duration time,
                                    base::Instant now) const {
  const auto found = this->services.find(service);
  if (found == this->services.end() || now - found->second.known_since < time) {
    return true;
  }
  const auto& versions = found->second.last_seen;
  return std::count_if(versions.begin(), versions.end(), [&](const auto& seen) {
           return now - seen.second < time;
         }) > 1;
}

std::map<base::ServiceId, ServiceVersions> VersionHistory::Recent(
    base::Duration time,
    base::Instant now) const {
  std::map<base::ServiceId, ServiceVersions> recent;
  for (const auto& [id, service] : this->services) {
    ServiceVersions& versions = recent[id];
    // Older versions are left out.
    versions.known_for = std::min(now - service.known_since, time);
    for (const auto& [version, seen] : service.last_seen) {
      if (now - seen < time) {
        versions.ages[version] = now - seen;
      }
    }
  }
  return recent;
}

}  // namespace carawayvalve::core
