#include "carawayvalve/core/backend_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace carawayvalve::core {

namespace {

// Limits the effect of a single slow answer on the average.
constexpr double kMaxSlowness = 20;
// Shorter expected times are raised to this, as such short answers don't show
// the speed of a backend server.
constexpr base::Milliseconds kMinExpected(10);
constexpr int64_t kMaxDoublings = 6;
// The number of requests in flight at which a backend server that asked this
// process to wait gets any number again.
constexpr int64_t kMaxInFlightAfterWait = 16;

}  // namespace

double BackendHealth::Weight(const Record& record, base::Instant now) const {
  const double halves = std::chrono::duration<double>(now - record.updated) /
                        std::chrono::duration<double>(this->settings.half_life);
  return std::exp2(-std::max(halves, 0.0));
}

void BackendHealth::Decay(Record& record, base::Instant now) {
  const double weight = this->Weight(record, now);
  record.slowness = 1 + (record.slowness - 1) * weight;
  record.failure_rate *= weight;
  record.updated = now;
}

void BackendHealth::Pause(Record& record,
                          int64_t doublings,
                          base::Instant now) {
  const base::Duration pause =
      this->settings.pause *
      (int64_t{1} << std::clamp<int64_t>(doublings, 0, kMaxDoublings));
  record.paused_until = std::max(
      record.paused_until, now + std::min(pause, this->settings.max_pause));
}

void BackendHealth::NoteAnswer(const base::BackendServerId& id,
                               base::Duration observed,
                               base::Duration expected,
                               base::Instant now) {
  Record& record = this->records[id];
  this->Decay(record, now);
  const base::Duration min_expected = kMinExpected;
  const double ratio =
      std::chrono::duration<double>(observed) /
      std::chrono::duration<double>(std::max(expected, min_expected));
  const double newest_weight = this->settings.newest_weight;
  record.slowness +=
      newest_weight * (std::clamp(ratio, 0.0, kMaxSlowness) - record.slowness);
  record.failure_rate -= newest_weight * record.failure_rate;
  record.consecutive_failures = 0;
  record.consecutive_misdirected = 0;
  record.paused_until = {};
  if (record.max_in_flight > 0 && now >= record.wait_until) {
    record.max_in_flight *= 2;
    if (record.max_in_flight >= kMaxInFlightAfterWait) {
      record.max_in_flight = 0;
    }
  }
}

void BackendHealth::NoteFailure(const base::BackendServerId& id,
                                base::Instant now) {
  Record& record = this->records[id];
  this->Decay(record, now);
  record.failure_rate +=
      this->settings.newest_weight * (1 - record.failure_rate);
  ++record.consecutive_failures;
  const int64_t extra =
      record.consecutive_failures - this->settings.failure_threshold;
  if (extra >= 0) {
    this->Pause(record, extra, now);
  }
}

void BackendHealth::NoteUnreachable(const base::BackendServerId& id,
                                    base::Instant now) {
  Record& record = this->records[id];
  record.consecutive_failures = std::max(record.consecutive_failures + 1,
                                         this->settings.failure_threshold);
  this->Decay(record, now);
  record.failure_rate +=
      this->settings.newest_weight * (1 - record.failure_rate);
  this->Pause(record,
              record.consecutive_failures - this->settings.failure_threshold,
              now);
}

void BackendHealth::NoteMisdirected(const base::BackendServerId& id,
                                    base::Instant now) {
  Record& record = this->records[id];
  this->Pause(record, record.consecutive_misdirected++, now);
}

void BackendHealth::NoteRoleChangeStarted(const base::BackendServerId& id,
                                          base::Instant until) {
  this->records[id].role_change_until = until;
}

void BackendHealth::NoteRoleChangeDone(const base::BackendServerId& id) {
  const auto found = this->records.find(id);
  if (found != this->records.end()) {
    found->second.role_change_until = {};
    const bool was_misdirected =
        std::exchange(found->second.consecutive_misdirected, 0) > 0;
    if (was_misdirected &&
        found->second.consecutive_failures < this->settings.failure_threshold) {
      found->second.paused_until = {};
    }
  }
}

void BackendHealth::NoteAskedToWait(const base::BackendServerId& id,
                                    base::Instant until) {
  Record& record = this->records[id];
  record.wait_until = std::max(record.wait_until, until);
  record.max_in_flight = 1;
}

bool BackendHealth::AskedToWait(const base::BackendServerId& id,
                                base::Instant now) const {
  const auto found = this->records.find(id);
  return found != this->records.end() && now < found->second.wait_until;
}

void BackendHealth::Forget(const base::BackendServerId& id) {
  this->records.erase(id);
}

bool BackendHealth::Usable(const base::BackendServerId& id,
                           int64_t in_flight,
                           base::Instant now) const {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return true;
  }
  const Record& record = found->second;
  if (now < record.role_change_until || now < record.wait_until) {
    return false;
  }
  if (record.max_in_flight > 0 && in_flight >= record.max_in_flight) {
    return false;
  }
  const bool half_open =
      record.consecutive_failures >= this->settings.failure_threshold ||
      record.consecutive_misdirected > 0;
  return now >= record.paused_until && (!half_open || in_flight == 0);
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
             : found->second.failure_rate * this->Weight(found->second, now);
}

}  // namespace carawayvalve::core
