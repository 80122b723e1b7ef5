#include "traffic_control.h"

namespace carawayvalve::entry {

TrafficControl::TrafficControl(const base::BootId& entry)
    : admission(core::Admission::Settings()),
      retry_budget(core::RetryBudget::Settings(), base::Now()),
      poison_requests(core::PoisonRequestTracker::Settings()),
      generator(base::StableHash(entry.value)) {}

void TrafficControl::SetAccounts(
    const std::vector<config::ClientAccount>& changed) {
  const std::lock_guard lock(this->mutex);
  this->accounts = changed;
  this->admission.SetLimits(this->accounts, this->process_count);
}

void TrafficControl::SetProcessCount(int64_t count) {
  const std::lock_guard lock(this->mutex);
  this->process_count = count;
  this->admission.SetLimits(this->accounts, this->process_count);
}

core::AdmissionResult TrafficControl::Admit(
    const base::ClientAccountId& account,
    base::Duration expected_wait,
    base::Instant deadline) {
  const std::lock_guard lock(this->mutex);
  core::AdmissionResult result = this->admission.Admit(
      account, expected_wait, deadline, base::Now(), this->generator);
  if (std::holds_alternative<core::Admitted>(result)) {
    this->retry_budget.NoteRequest();
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
  return this->retry_budget.TrySpend(base::Now());
}

void TrafficControl::NoteCrash(const std::string& content_digest,
                               const std::string& death_id) {
  const std::lock_guard lock(this->mutex);
  this->poison_requests.NoteCrash(content_digest, death_id, base::Now());
}

void TrafficControl::MergeCrashRecords(
    const std::vector<core::CrashRecord>& records) {
  const std::lock_guard lock(this->mutex);
  this->poison_requests.Merge(records, base::Now());
  this->poison_requests.Prune(base::Now());
}

std::vector<core::CrashRecord> TrafficControl::CrashRecords() const {
  const std::lock_guard lock(this->mutex);
  return this->poison_requests.Records(base::Now());
}

int TrafficControl::CountCrashes(const std::string& content_digest) const {
  const std::lock_guard lock(this->mutex);
  return this->poison_requests.CountCrashes(content_digest, base::Now());
}

std::optional<base::Duration> TrafficControl::QuarantineLeft(
    const std::string& content_digest) const {
  const std::lock_guard lock(this->mutex);
  return this->poison_requests.QuarantineLeft(content_digest, base::Now());
}

}  // namespace carawayvalve::entry
