#include "carawayvalve/core/retry_budget.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

constexpr int64_t kThousandths = 1000;

}  // namespace

RetryBudget::RetryBudget(const Settings& settings, base::Instant now)
    : settings(settings),
      saved_thousandths(settings.max_saved * kThousandths),
      earned_until(now) {}

void RetryBudget::NoteRequest() {
  this->Earn(this->settings.retries_per_thousand);
}

bool RetryBudget::TrySpend(base::Instant now) {
  // A millisecond earns as many thousandths of a retry as a second earns
  // retries.
  const int64_t passed_ms = base::ToMilliseconds(now - this->earned_until);
  if (passed_ms > 0) {
    this->Earn(passed_ms * this->settings.floor_per_second);
    this->earned_until += base::Milliseconds(passed_ms);
  }
  if (this->saved_thousandths < kThousandths) {
    return false;
  }
  this->saved_thousandths -= kThousandths;
  return true;
}

void RetryBudget::Earn(int64_t thousandths) {
  this->saved_thousandths = std::min(this->saved_thousandths + thousandths,
                                     this->settings.max_saved * kThousandths);
}

}  // namespace carawayvalve::core
