#include "carawayvalve/core/retry_budget_share.h"

#include <algorithm>
#include <cmath>

namespace carawayvalve::core {

namespace {

constexpr int64_t kRetry = 1'000'000;
// A part of the slack that stays unused: a service's counts and ours differ by
// what is under way.
constexpr double kUsedSlack = 0.8;
// A window may have retries that were earned in the last part of the window
// before. Both together are 1.25 windows, of which 0.8 are one.
constexpr int64_t kCreditParts = 4;
constexpr double kUsedRatio = 0.8;

int64_t ToMillionths(double retries) {
  return std::llround(retries * kRetry);
}

}  // namespace

void RetryBudgetShare::NoteRequest(base::Instant now) {
  this->DropExpired(now);
  const int64_t part = ToMillionths(kUsedRatio * this->settings.ratio);
  this->earned.push_back({now, part});
  this->credit += part;
}

bool RetryBudgetShare::TrySpend(std::optional<int64_t> slack_divisor, base::Instant now) {
  if (!this->CanSpend(slack_divisor, now)) {
    return false;
  }
  const int64_t from_credit = std::min(this->credit, kRetry);
  this->SpendCredit(from_credit);
  this->spent.push_back({now, kRetry - from_credit});
  this->slack_spent += kRetry - from_credit;
  return true;
}

bool RetryBudgetShare::CanSpend(std::optional<int64_t> slack_divisor, base::Instant now) {
  this->DropExpired(now);
  return this->credit + this->RemainingSlack(slack_divisor) >= kRetry;
}

RetryBudgetShare::Balance RetryBudgetShare::Remaining(std::optional<int64_t> slack_divisor,
                                     base::Instant now) {
  this->DropExpired(now);
  constexpr auto kWhole = static_cast<double>(kRetry);
  return {static_cast<double>(this->credit) / kWhole,
          static_cast<double>(this->RemainingSlack(slack_divisor)) / kWhole};
}

int64_t RetryBudgetShare::RemainingSlack(std::optional<int64_t> slack_divisor) const {
  if (!slack_divisor.has_value()) {
    return 0;
  }
  const int64_t part = ToMillionths(kUsedSlack * this->settings.slack) /
                       std::max<int64_t>(*slack_divisor, 1);
  return std::max<int64_t>(part - this->slack_spent, 0);
}

void RetryBudgetShare::SpendCredit(int64_t millionths) {
  this->credit -= millionths;
  while (millionths > 0) {
    Portion& oldest = this->earned.front();
    const int64_t taken = std::min(millionths, oldest.millionths);
    oldest.millionths -= taken;
    millionths -= taken;
    if (oldest.millionths == 0) {
      this->earned.pop_front();
    }
  }
}

void RetryBudgetShare::DropExpired(base::Instant now) {
  const base::Duration window = this->settings.window;
  while (!this->earned.empty() &&
         this->earned.front().at <= now - window / kCreditParts) {
    this->credit -= this->earned.front().millionths;
    this->earned.pop_front();
  }
  while (!this->spent.empty() && this->spent.front().at <= now - window) {
    this->slack_spent -= this->spent.front().millionths;
    this->spent.pop_front();
  }
}

}  // namespace carawayvalve::core
