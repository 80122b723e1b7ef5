#include "traffic_control.h"

namespace carawayvalve::entry {

namespace {

// No process remembers for longer that a part was served.
constexpr base::Duration kMaxServedAge = std::chrono::minutes(10);

}  // namespace

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

void TrafficControl::NoteCrash(const core::RequestContent& content,
                               const std::string& death_id) {
  const std::lock_guard lock(this->mutex);
  this->poison_requests.NoteCrash(content, death_id, base::Now());
}

void TrafficControl::NoteRequest(const std::vector<std::string>& parts) {
  const std::lock_guard lock(this->mutex);
  this->poison_requests.NoteRequest(parts);
}

void TrafficControl::NoteServed(const std::vector<std::string>& parts) {
  const std::lock_guard lock(this->mutex);
  this->poison_requests.NoteServed(parts, base::Now());
}

void TrafficControl::MergeCrashRecords(
    const std::vector<core::CrashRecord>& records) {
  const std::lock_guard lock(this->mutex);
  this->poison_requests.Merge(records, base::Now());
  this->poison_requests.Prune(base::Now());
}

void TrafficControl::MergeServedParts(
    const std::vector<core::ServedPart>& parts) {
  const std::lock_guard lock(this->mutex);
  this->poison_requests.MergeServed(parts, base::Now());
}

std::vector<core::CrashRecord> TrafficControl::CrashRecords() const {
  const std::lock_guard lock(this->mutex);
  return this->poison_requests.Records(base::Now());
}

std::vector<core::ServedPart> TrafficControl::ServedParts() const {
  const std::lock_guard lock(this->mutex);
  return this->poison_requests.ServedParts(base::Now(), kMaxServedAge);
}

int TrafficControl::CountCrashes(const std::string& content_digest) const {
  const std::lock_guard lock(this->mutex);
  return this->poison_requests.CountCrashes(content_digest, base::Now());
}

core::ContentAdmission TrafficControl::AdmitContent(
    const core::RequestContent& content,
    const core::PoisonRequestTracker::MayTry& may_try) {
  const std::lock_guard lock(this->mutex);
  return this->poison_requests.Admit(content, base::Now(), may_try);
}

std::optional<base::Duration> TrafficControl::QuarantineLeft(
    const core::RequestContent& content) const {
  const std::lock_guard lock(this->mutex);
  return this->poison_requests.QuarantineLeft(content, base::Now());
}

}  // namespace carawayvalve::entry
