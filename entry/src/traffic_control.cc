#include "traffic_control.h"

namespace carawayvalve::entry {

TrafficControl::TrafficControl(const base::BootId& entry)
    : admission(core::Admission::Settings()),
      retries(core::RetryBudget::Settings(), base::Now()),
      suspects(core::PoisonRequestTracker::Settings()),
      generator(base::StableHash(entry.value)) {}

void TrafficControl::SetAccounts(
    const std::vector<config::ClientAccount>& changed) {
  const std::lock_guard lock(this->mutex);
  this->accounts = changed;
  this->admission.SetLimits(this->accounts, this->processes);
}

void TrafficControl::SetProcessCount(int64_t count) {
  const std::lock_guard lock(this->mutex);
  this->processes = count;
  this->admission.SetLimits(this->accounts, this->processes);
}

core::AdmissionResult TrafficControl::Admit(
    const base::ClientAccountId& account,
    base::Duration expected_wait,
    base::Instant deadline) {
  const std::lock_guard lock(this->mutex);
  core::AdmissionResult result = this->admission.Admit(
      account, expected_wait, deadline, base::Now(), this->generator);
  if (std::holds_alternative<core::Admitted>(result)) {
    this->retries.NoteRequest();
  }
  return result;
}

void TrafficControl::Release(const base::ClientAccountId& account,
                             base::Duration duration) {
  const std::lock_guard lock(this->mutex);
  this->admission.Release(account, duration);
}

bool TrafficControl::TrySpendRetry() {
  const std::lock_guard lock(this->mutex);
  return this->retries.TrySpend(base::Now());
}

void TrafficControl::NoteCrash(const std::string& content_digest,
                               const std::string& death_id) {
  const std::lock_guard lock(this->mutex);
  this->suspects.NoteCrash(content_digest, death_id, base::Now());
}

void TrafficControl::MergeCrashRecords(const std::vector<core::CrashRecord>& marks) {
  const std::lock_guard lock(this->mutex);
  this->suspects.Merge(marks, base::Now());
  this->suspects.Prune(base::Now());
}

std::vector<core::CrashRecord> TrafficControl::CrashRecords() const {
  const std::lock_guard lock(this->mutex);
  return this->suspects.Records(base::Now());
}

int TrafficControl::CountCrashes(const std::string& content_digest) const {
  const std::lock_guard lock(this->mutex);
  return this->suspects.CountCrashes(content_digest, base::Now());
}

std::optional<base::Duration> TrafficControl::QuarantineLeft(
    const std::string& content_digest) const {
  const std::lock_guard lock(this->mutex);
  return this->suspects.QuarantineLeft(content_digest, base::Now());
}

}  // namespace carawayvalve::entry
