#include "carawayvalve/core/crash_state_schedule.h"

#include <algorithm>
#include <map>
#include <utility>

namespace carawayvalve::core {

namespace {

// The size of a record beyond that of its texts, in any encoding.
constexpr size_t kRecordBytes = 64;

size_t BytesOf(const CrashRecord& record) {
  size_t bytes =
      kRecordBytes + record.content_digest.size() + record.death_id.size();
  for (const std::string& part : record.parts) {
    bytes += kRecordBytes / 4 + part.size();
  }
  return bytes;
}

size_t BytesOf(const ServedPart& served) {
  return kRecordBytes + served.part.size();
}

size_t BytesOf(const BlamedPart& blamed) {
  return kRecordBytes + blamed.part.size();
}

// Keeps the first items that fit, and takes their size off `bytes_left`.
template <typename Item>
void KeepWhatFits(std::vector<Item>& items, size_t& bytes_left) {
  size_t count = 0;
  while (count < items.size() && BytesOf(items[count]) <= bytes_left) {
    bytes_left -= BytesOf(items[count]);
    ++count;
  }
  items.resize(count);
}

}  // namespace

std::optional<CrashStateCall> CrashStateSchedule::Step(
    const PoisonRequestTracker& tracker,
    const Conditions& conditions,
    base::Instant now) {
  const int64_t era_before =
      std::exchange(this->store_era, conditions.store_era);
  this->must_read =
      this->must_read || (era_before > 0 && era_before < conditions.store_era);
  if (this->in_flight ||
      (this->retry_at.has_value() && now < *this->retry_at)) {
    return std::nullopt;
  }
  if (this->must_read) {
    this->in_flight = true;
    return ReadCrashState{};
  }
  if (!conditions.is_writer || tracker.changes() == this->settled_changes) {
    this->changed_at.reset();
    return std::nullopt;
  }
  return this->StoreNews(tracker, now);
}

std::optional<CrashStateCall> CrashStateSchedule::StoreNews(
    const PoisonRequestTracker& tracker,
    base::Instant now) {
  this->changed_at = this->changed_at.value_or(now);
  if (now - *this->changed_at < this->settings.delay ||
      (this->stored_at.has_value() &&
       now - *this->stored_at < this->settings.interval)) {
    return std::nullopt;
  }
  const int64_t changes = tracker.changes();
  CrashState state = this->Shortened(tracker.State(now));
  Keys keys = KeysOf(state);
  if (keys == this->stored) {
    this->settled_changes = changes;
    return std::nullopt;
  }
  const bool has_news = !std::includes(this->stored.begin(), this->stored.end(),
                                       keys.begin(), keys.end());
  if (!has_news && this->stored_at.has_value() &&
      now - *this->stored_at < this->settings.removal_interval) {
    return std::nullopt;
  }
  this->in_flight = true;
  this->sent = std::move(keys);
  this->sent_changes = changes;
  return StoreCrashState{this->revision, std::move(state)};
}

CrashState CrashStateSchedule::Shortened(CrashState state) const {
  std::map<std::string, size_t> crashes;
  for (const CrashRecord& record : state.crashes) {
    ++crashes[record.content_digest];
  }
  std::stable_sort(state.crashes.begin(), state.crashes.end(),
                   [&](const CrashRecord& left, const CrashRecord& right) {
                     return std::pair(crashes[right.content_digest], left.age) <
                            std::pair(crashes[left.content_digest], right.age);
                   });
  size_t bytes_left = this->settings.max_bytes;
  KeepWhatFits(state.blamed, bytes_left);
  // Half is left for what speaks for the parts of these crashes.
  size_t crash_bytes = bytes_left / 2;
  bytes_left -= crash_bytes;
  KeepWhatFits(state.crashes, crash_bytes);
  bytes_left += crash_bytes;
  KeepWhatFits(state.served, bytes_left);
  return state;
}

CrashStateSchedule::Keys CrashStateSchedule::KeysOf(const CrashState& state) {
  Keys keys;
  for (const CrashRecord& record : state.crashes) {
    keys.insert("crash " + record.content_digest + " " + record.death_id);
  }
  for (const BlamedPart& blamed : state.blamed) {
    keys.insert("part " + std::to_string(blamed.crashes) + " " + blamed.part);
  }
  return keys;
}

void CrashStateSchedule::NoteRead(const CrashState& stored,
                                  std::optional<int64_t> revision) {
  this->in_flight = false;
  this->must_read = false;
  this->retry_at.reset();
  this->stored = KeysOf(stored);
  this->revision = revision;
  // What is known here may not be stored.
  this->settled_changes = -1;
}

void CrashStateSchedule::NoteStored(int64_t revision, base::Instant now) {
  this->in_flight = false;
  this->retry_at.reset();
  this->stored_at = now;
  this->stored = std::move(this->sent);
  this->revision = revision;
  this->settled_changes = this->sent_changes;
  this->changed_at.reset();
}

void CrashStateSchedule::NoteConflict() {
  this->in_flight = false;
  this->must_read = true;
}

void CrashStateSchedule::NoteFailed(base::Instant now) {
  this->in_flight = false;
  this->must_read = true;
  this->retry_at = now + this->settings.retry_delay;
}

}  // namespace carawayvalve::core
