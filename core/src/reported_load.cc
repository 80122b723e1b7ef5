#include "carawayvalve/core/reported_load.h"

#include <algorithm>
#include <cmath>

namespace carawayvalve::core {

namespace {

// Slower statements count as this.
constexpr double kMaxExcess = 19;
// Answers say little about the truth of statements below this.
constexpr double kMinExcessToJudge = 0.25;
// An answer bears out statements of up to this many times what it shows itself.
constexpr double kExcessHeadroom = 2;
// Shorter expected times are raised to this, as such short answers don't show
// the speed of a backend server.
constexpr base::Milliseconds kMinExpected(10);

}  // namespace

double ReportedLoad::Excess(const Record& record, base::Instant now) const {
  const base::Duration age = now - record.excess_at;
  if (age > this->settings.max_age) {
    return 0;
  }
  const double halves = std::chrono::duration<double>(age) /
                        std::chrono::duration<double>(this->settings.half_life);
  return record.excess * std::exp2(-std::max(halves, 0.0));
}

void ReportedLoad::NoteStatement(const base::BackendServerId& id,
                                 const LoadStatement& statement,
                                 base::Instant now) {
  if (statement == LoadStatement{}) {
    return;
  }
  Record& record = this->records[id];
  record.newest = statement;
  record.stated = now;
  if (!statement.slowness.has_value()) {
    return;
  }
  const double stated = std::clamp(*statement.slowness - 1, 0.0, kMaxExcess);
  record.excess = std::max(stated, this->Excess(record, now));
  record.excess_at = now;
}

void ReportedLoad::NoteAnswer(const base::BackendServerId& id,
                              base::Duration observed,
                              base::Duration expected,
                              base::Instant now) {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return;
  }
  Record& record = found->second;
  const double stated = this->Excess(record, now);
  if (stated < kMinExcessToJudge) {
    return;
  }
  const base::Duration min_expected = kMinExpected;
  const double ratio =
      std::chrono::duration<double>(observed) /
      std::chrono::duration<double>(std::max(expected, min_expected));
  // The request may have begun before the backend server turned slow.
  const double max_excess = kExcessHeadroom * (ratio - 1);
  const double shown = std::clamp(max_excess / stated, 0.0, 1.0);
  record.trust = std::min(shown, record.trust + this->settings.newest_weight *
                                                    (shown - record.trust));
}

void ReportedLoad::Forget(const base::BackendServerId& id) {
  this->records.erase(id);
}

double ReportedLoad::Slowness(const base::BackendServerId& id,
                              base::Instant now) const {
  const auto found = this->records.find(id);
  return found == this->records.end()
             ? 1
             : 1 + this->Excess(found->second, now) * found->second.trust;
}

double ReportedLoad::Trust(const base::BackendServerId& id) const {
  const auto found = this->records.find(id);
  return found == this->records.end() ? 1 : found->second.trust;
}

std::optional<ReportedLoad::Aged> ReportedLoad::Newest(
    const base::BackendServerId& id,
    base::Instant now) const {
  const auto found = this->records.find(id);
  if (found == this->records.end()) {
    return std::nullopt;
  }
  return Aged{found->second.newest, now - found->second.stated};
}

}  // namespace carawayvalve::core
