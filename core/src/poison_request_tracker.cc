#include "carawayvalve/core/poison_request_tracker.h"

#include <algorithm>
#include <functional>

namespace carawayvalve::core {

namespace {

constexpr size_t kDeathsToRefuse = 2;

}  // namespace

std::string ContentDigest(const base::ClientAccountId& account,
                          const std::string& body) {
  // The length keeps account and body apart.
  return base::Sha256(std::to_string(account.value.size()) + ":" +
                      account.value + body);
}

PoisonRequestTracker::PoisonRequestTracker(const Settings& settings) : settings(settings) {}

void PoisonRequestTracker::NoteCrash(const std::string& content_digest,
                         const std::string& death_id,
                         base::Instant now) {
  this->Add({content_digest, death_id}, now);
}

int PoisonRequestTracker::CountCrashes(const std::string& content_digest,
                       base::Instant now) const {
  int count = 0;
  for (auto death = this->deaths.lower_bound({content_digest, ""});
       death != this->deaths.end() && death->first.first == content_digest;
       ++death) {
    count += this->Counts(death->second, now) ? 1 : 0;
  }
  return count;
}

std::optional<base::Duration> PoisonRequestTracker::QuarantineLeft(
    const std::string& content_digest,
    base::Instant now) const {
  std::vector<base::Instant> died;
  for (auto death = this->deaths.lower_bound({content_digest, ""});
       death != this->deaths.end() && death->first.first == content_digest;
       ++death) {
    if (this->Counts(death->second, now)) {
      died.push_back(death->second);
    }
  }
  if (died.size() < kDeathsToRefuse) {
    return std::nullopt;
  }
  std::sort(died.begin(), died.end(), std::greater<>());
  return died[kDeathsToRefuse - 1] + this->settings.time_to_live - now;
}

std::vector<CrashRecord> PoisonRequestTracker::Records(base::Instant now) const {
  std::vector<CrashRecord> marks;
  for (const auto& [key, died] : this->deaths) {
    if (this->Counts(died, now)) {
      marks.push_back({key.first, key.second, now - died});
    }
  }
  return marks;
}

void PoisonRequestTracker::Merge(const std::vector<CrashRecord>& marks, base::Instant now) {
  for (const CrashRecord& mark : marks) {
    this->Add({mark.content_digest, mark.death_id}, now - mark.age);
  }
}

void PoisonRequestTracker::Prune(base::Instant now) {
  std::erase_if(this->deaths, [&](const auto& death) {
    return now - death.second >= 2 * this->settings.time_to_live;
  });
}

// Of two copies the older one is nearer to the truth.
void PoisonRequestTracker::Add(const Key& key, base::Instant died) {
  const auto [place, added] = this->deaths.emplace(key, died);
  place->second = std::min(place->second, died);
  if (this->deaths.size() <= this->settings.max_records) {
    return;
  }
  this->deaths.erase(
      std::min_element(this->deaths.begin(), this->deaths.end(),
                       [](const auto& one, const auto& other) {
                         return std::pair(one.second, one.first) <
                                std::pair(other.second, other.first);
                       }));
}

bool PoisonRequestTracker::Counts(base::Instant died, base::Instant now) const {
  return now - died < this->settings.time_to_live;
}

}  // namespace carawayvalve::core
