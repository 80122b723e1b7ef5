#include "carawayvalve/core/backend_health.h"

#include <algorithm>
#include <cmath>

namespace carawayvalve::core {

namespace {

// A single answer can't make a backend server look slower than this.
constexpr double kMostSlowness = 20;
// Answers that were expected within less say nothing of speed.
constexpr base::Milliseconds kLeastExpected(10);
// Pauses are doubled so often at the most.
constexpr int64_t kMaxDoublings = 6;

}  // namespace

double BackendHealth::Weight(const Record& record, base::Instant now) const {
  const double halves = std::chrono::duration<double>(now - record.noted) /
                        std::chrono::duration<double>(this->settings.half_life);
  return std::exp2(-std::max(halves, 0.0));
}

void BackendHealth::Decay(Record& record, base::Instant now) {
  const double weight = this->Weight(record, now);
  record.slowness = 1 + (record.slowness - 1) * weight;
  record.failures *= weight;
  record.noted = now;
}

void BackendHealth::Pause(Record& record, base::Instant now) {
  const int64_t extra = record.in_a_row - this->settings.failure_threshold;
  const int64_t doublings = std::clamp<int64_t>(extra, 0, kMaxDoublings);
  const base::Duration pause = this->settings.pause * (int64_t{1} << doublings);
  record.paused_until = now + std::min(pause, this->settings.max_pause);
}

void BackendHealth::NoteAnswer(const base::BackendServerId& id,
                               base::Duration observed,
                               base::Duration expected,
                               base::Instant now) {
  Record& record = this->records[id];
  this->Decay(record, now);
  const base::Duration least = kLeastExpected;
  const double ratio = std::chrono::duration<double>(observed) /
                       std::chrono::duration<double>(std::max(expected, least));
  const double newest_weight = this->settings.newest_weight;
  record.slowness +=
      newest_weight * (std::clamp(ratio, 0.0, kMostSlowness) - record.slowness);
  record.failures -= newest_weight * record.failures;
  record.in_a_row = 0;
  record.paused_until = {};
}

void BackendHealth::NoteFailure(const base::BackendServerId& id,
                                base::Instant now) {
  Record& record = this->records[id];
  this->Decay(record, now);
  record.failures += this->settings.newest_weight * (1 - record.failures);
  ++record.in_a_row;
  if (record.in_a_row >= this->settings.failure_threshold) {
    this->Pause(record, now);
  }
}

void BackendHealth::NoteUnreachable(const base::BackendServerId& id,
                                    base::Instant now) {
  Record& record = this->records[id];
  record.in_a_row =
      std::max(record.in_a_row + 1, this->settings.failure_threshold);
  this->Decay(record, now);
  record.failures += this->settings.newest_weight * (1 - record.failures);
  this->Pause(record, now);
}

void BackendHealth::NoteRoleChangeStarted(const base::BackendServerId& id,
                             base::Instant until) {
  this->records[id].away_until = until;
}

void BackendHealth::NoteRoleChangeDone(const base::BackendServerId& id) {
  const auto found = this->records.find(id);
  if (found != this->records.end()) {
    found->second.away_until = {};
  }
}

void BackendHealth::Forget(const base::BackendServerId& id) {
  this->records.erase(id);
}

bool BackendHealth::Usable(const base::BackendServerId& id,
                           int64_t under_way,
                           base::Instant now) const {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return true;
  }
  const Record& record = found->second;
  if (now < record.away_until) {
    return false;
  }
  const bool on_trial = record.in_a_row >= this->settings.failure_threshold;
  return now >= record.paused_until && (!on_trial || under_way == 0);
}

double BackendHealth::Slowness(const base::BackendServerId& id,
                               base::Instant now) const {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return 1;
  }
  const double excess = found->second.slowness - 1;
  return std::max(1.0, 1 + excess * this->Weight(found->second, now));
}

double BackendHealth::FailureRate(const base::BackendServerId& id,
                                   base::Instant now) const {
  const auto found = this->records.find(id);
  return found == this->records.end()
             ? 0
             : found->second.failures * this->Weight(found->second, now);
}

}  // namespace carawayvalve::core
