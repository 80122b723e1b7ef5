#include "carawayvalve/core/poison_request_tracker.h"

#include <algorithm>
#include <functional>

namespace carawayvalve::core {

namespace {

constexpr size_t kCrashesToQuarantine = 2;

}  // namespace

std::string ContentDigest(const base::ClientAccountId& account,
                          const std::string& body) {
  // The length prefix separates the account from the body.
  return base::Sha256(std::to_string(account.value.size()) + ":" +
                      account.value + body);
}

PoisonRequestTracker::PoisonRequestTracker(const Settings& settings)
    : settings(settings) {}

void PoisonRequestTracker::NoteCrash(const std::string& content_digest,
                                     const std::string& death_id,
                                     base::Instant now) {
  this->Add({content_digest, death_id}, now);
}

int PoisonRequestTracker::CountCrashes(const std::string& content_digest,
                                       base::Instant now) const {
  int count = 0;
  for (auto crash = this->crashes.lower_bound({content_digest, ""});
       crash != this->crashes.end() && crash->first.first == content_digest;
       ++crash) {
    count += this->Counts(crash->second, now) ? 1 : 0;
  }
  return count;
}

std::optional<base::Duration> PoisonRequestTracker::QuarantineLeft(
    const std::string& content_digest,
    base::Instant now) const {
  std::vector<base::Instant> crash_times;
  for (auto crash = this->crashes.lower_bound({content_digest, ""});
       crash != this->crashes.end() && crash->first.first == content_digest;
       ++crash) {
    if (this->Counts(crash->second, now)) {
      crash_times.push_back(crash->second);
    }
  }
  if (crash_times.size() < kCrashesToQuarantine) {
    return std::nullopt;
  }
  std::sort(crash_times.begin(), crash_times.end(), std::greater<>());
  return crash_times[kCrashesToQuarantine - 1] + this->settings.time_to_live -
         now;
}

std::vector<CrashRecord> PoisonRequestTracker::Records(
    base::Instant now) const {
  std::vector<CrashRecord> records;
  for (const auto& [key, crashed_at] : this->crashes) {
    if (this->Counts(crashed_at, now)) {
      records.push_back({key.first, key.second, now - crashed_at});
    }
  }
  return records;
}

void PoisonRequestTracker::Merge(const std::vector<CrashRecord>& records,
                                 base::Instant now) {
  for (const CrashRecord& record : records) {
    this->Add({record.content_digest, record.death_id}, now - record.age);
  }
}

void PoisonRequestTracker::Prune(base::Instant now) {
  std::erase_if(this->crashes, [&](const auto& crash) {
    return now - crash.second >= 2 * this->settings.time_to_live;
  });
}

// Keeps the earlier time of two copies: time in transit makes a crash look
// later than it was.
void PoisonRequestTracker::Add(const Key& key, base::Instant crashed_at) {
  const auto [place, added] = this->crashes.emplace(key, crashed_at);
  place->second = std::min(place->second, crashed_at);
  if (this->crashes.size() <= this->settings.max_records) {
    return;
  }
  this->crashes.erase(
      std::min_element(this->crashes.begin(), this->crashes.end(),
                       [](const auto& one, const auto& other) {
                         return std::pair(one.second, one.first) <
                                std::pair(other.second, other.first);
                       }));
}

bool PoisonRequestTracker::Counts(base::Instant crashed_at,
                                  base::Instant now) const {
  return now - crashed_at < this->settings.time_to_live;
}

}  // namespace carawayvalve::core
