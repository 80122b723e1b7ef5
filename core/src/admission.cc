#include "carawayvalve/core/admission.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

constexpr int64_t kUnevenBalanceFactor = 2;
// The latest duration has the weight 1 / kMovingAverageDivisor in the moving
// average.
constexpr int64_t kMovingAverageDivisor = 8;
constexpr base::Milliseconds kMinRetryAfter{1000};
constexpr base::Milliseconds kMaxRetryAfter{60000};

}  // namespace

Admission::Admission(const Settings& settings) : settings(settings) {}

void Admission::SetLimits(const std::vector<config::ClientAccount>& accounts,
                          int64_t processes) {
  const int64_t count = std::max<int64_t>(1, processes);
  this->limits.clear();
  for (const config::ClientAccount& account : accounts) {
    const int64_t limit = account.max_requests_in_flight;
    const int64_t process_limit =
        (limit * kUnevenBalanceFactor + count - 1) / count;
    this->limits[account.name] = std::min(limit, process_limit);
  }
}

AdmissionResult Admission::Admit(const base::ClientAccountId& account,
                                 base::Duration expected_wait,
                                 base::Instant deadline,
                                 base::Instant now,
                                 Generator& generator) {
  const int64_t in_flight = this->InFlightOf(account);
  const auto limit = this->limits.find(account);
  if (limit != this->limits.end() && in_flight >= limit->second) {
    return NotAdmitted{
        AdmissionRefusal::kAccountLimit,
        "the client account has too many requests in flight",
        JitteredRetryAfter(this->ExpectedTimeToSlot(account), generator)};
  }
  const int64_t free = this->settings.max_in_flight - this->total_in_flight;
  if (free <= 0 || in_flight >= free * this->settings.share_of_free) {
    return NotAdmitted{
        AdmissionRefusal::kProcessFull, "the entry process is full",
        JitteredRetryAfter(this->ExpectedTimeToSlot(account), generator)};
  }
  const base::Duration left = deadline - now;
  if (expected_wait > left) {
    return NotAdmitted{AdmissionRefusal::kTooLate,
                       "the deadline would pass before the first answer",
                       JitteredRetryAfter(expected_wait - left, generator)};
  }
  this->accounts[account].in_flight += 1;
  this->total_in_flight += 1;
  return Admitted{};
}

void Admission::Release(const base::ClientAccountId& account,
                        base::Duration duration) {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end() || found->second.in_flight == 0) {
    return;
  }
  Account& present = found->second;
  present.in_flight -= 1;
  present.request_duration +=
      (duration - present.request_duration) / kMovingAverageDivisor;
  this->total_in_flight -= 1;
  // Undeclared accounts appear and disappear with the configuration, so idle
  // ones are dropped.
  if (present.in_flight == 0 && !this->limits.contains(account)) {
    this->accounts.erase(found);
  }
}

int64_t Admission::InFlightOf(const base::ClientAccountId& account) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ? 0 : found->second.in_flight;
}

base::Duration Admission::ExpectedTimeToSlot(
    const base::ClientAccountId& account) const {
  const auto found = this->accounts.find(account);
  if (found == this->accounts.end()) {
    return Account().request_duration;
  }
  return found->second.request_duration /
         std::max<int64_t>(1, found->second.in_flight);
}

base::Milliseconds JitteredRetryAfter(base::Duration until_free,
                                      std::mt19937_64& generator) {
  const auto wait =
      std::clamp(std::chrono::ceil<base::Milliseconds>(until_free),
                 kMinRetryAfter, kMaxRetryAfter);
  std::uniform_int_distribution<int64_t> extra(0, wait.count() / 2);
  return wait + base::Milliseconds(extra(generator));
}

}  // namespace carawayvalve::core
