#include "carawayvalve/core/stream_origins.h"

#include <algorithm>

#include "carawayvalve/core/duty.h"

namespace carawayvalve::core {

namespace {

// Callers take a stream up within the time that they wait for an answer, some
// seconds.
constexpr std::chrono::seconds kRetention(60);
// Bounds the memory; the oldest are forgotten first.
constexpr size_t kMaxRecords = 65536;

}  // namespace

void StreamOrigins::Note(const StreamOrigin& origin, base::Instant now) {
  const base::Instant noted =
      now - std::clamp<base::Duration>(origin.age, base::Duration(0),
                                       base::Duration(kRetention));
  const auto [found, is_new] = this->records.try_emplace(
      origin.first, Record{origin.software_version, noted});
  if (!is_new && found->second.noted >= noted) {
    return;
  }
  found->second.noted = noted;
  this->order.emplace_back(noted, origin.first);
  this->Prune(now);
}

std::optional<std::string> StreamOrigins::Find(
    const base::RequestId& first) const {
  const auto found = this->records.find(first);
  return found == this->records.end()
             ? std::nullopt
             : std::optional(found->second.software_version);
}

std::vector<StreamOrigin> StreamOrigins::Recent(base::Duration max_age,
                                                size_t max_count,
                                                base::Instant now) const {
  std::vector<StreamOrigin> recent;
  for (auto entry = this->order.rbegin();
       entry != this->order.rend() && recent.size() < max_count; ++entry) {
    const auto found = this->records.find(entry->second);
    if (now - entry->first <= max_age && found != this->records.end() &&
        found->second.noted == entry->first) {
      recent.push_back(
          {entry->second, found->second.software_version, now - entry->first});
    }
  }
  return recent;
}

void StreamOrigins::Prune(base::Instant now) {
  while (!this->order.empty() &&
         (now - this->order.front().first > kRetention ||
          this->order.size() > kMaxRecords)) {
    const auto found = this->records.find(this->order.front().second);
    if (found != this->records.end() &&
        found->second.noted == this->order.front().first) {
      this->records.erase(found);
    }
    this->order.pop_front();
  }
}

std::vector<base::HostId> OriginKeepers(const base::RequestId& first,
                                        const std::vector<base::HostId>& live,
                                        size_t count) {
  std::vector<base::HostId> keepers =
      RankHolders("stream/" + first.value, live);
  keepers.resize(std::min(keepers.size(), count));
  return keepers;
}

}  // namespace carawayvalve::core
