#include "carawayvalve/core/retry_budget_share.h"

#include <algorithm>
#include <cmath>

namespace carawayvalve::core {

namespace {

constexpr int64_t kMillionthsPerRetry = 1'000'000;
// Part of the slack that is used. The rest is a reserve, since a service's
// counts and those of this process differ by the requests in flight.
constexpr double kUsableSlack = 0.8;
// Credit expires after a quarter of the window, so the retries of one window
// may have been earned by the requests of 1.25 windows. Scaling the ratio by
// 0.8 compensates for that.
constexpr int64_t kCreditLifetimesPerWindow = 4;
constexpr double kUsableRatio = 0.8;

int64_t ToMillionths(double retries) {
  return std::llround(retries * kMillionthsPerRetry);
}

}  // namespace

void RetryBudgetShare::NoteRequest(base::Instant now) {
  this->DropExpired(now);
  const int64_t part = ToMillionths(kUsableRatio * this->settings.ratio);
  this->earned.push_back({now, part});
  this->credit += part;
}

bool RetryBudgetShare::TrySpend(std::optional<int64_t> slack_divisor,
                                base::Instant now) {
  if (!this->CanSpend(slack_divisor, now)) {
    return false;
  }
  const int64_t from_credit = std::min(this->credit, kMillionthsPerRetry);
  this->SpendCredit(from_credit);
  this->spent.push_back({now, kMillionthsPerRetry - from_credit});
  this->slack_spent += kMillionthsPerRetry - from_credit;
  return true;
}

bool RetryBudgetShare::CanSpend(std::optional<int64_t> slack_divisor,
                                base::Instant now,
                                int64_t count) {
  this->DropExpired(now);
  return this->credit + this->RemainingSlack(slack_divisor) >=
         count * kMillionthsPerRetry;
}

RetryBudgetShare::Balance RetryBudgetShare::Remaining(
    std::optional<int64_t> slack_divisor,
    base::Instant now) {
  this->DropExpired(now);
  constexpr auto kPerRetry = static_cast<double>(kMillionthsPerRetry);
  return {static_cast<double>(this->credit) / kPerRetry,
          static_cast<double>(this->RemainingSlack(slack_divisor)) / kPerRetry};
}

int64_t RetryBudgetShare::RemainingSlack(
    std::optional<int64_t> slack_divisor) const {
  if (!slack_divisor.has_value()) {
    return 0;
  }
  const int64_t part = ToMillionths(kUsableSlack * this->settings.slack) /
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
         this->earned.front().at <= now - window / kCreditLifetimesPerWindow) {
    this->credit -= this->earned.front().millionths;
    this->earned.pop_front();
  }
  while (!this->spent.empty() && this->spent.front().at <= now - window) {
    this->slack_spent -= this->spent.front().millionths;
    this->spent.pop_front();
  }
}

}  // namespace carawayvalve::core
