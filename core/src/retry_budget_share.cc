#include "carawayvalve/core/retry_budget_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawayvalve::core {

namespace {

constexpr int64_t kMillionthsPerRetry = 1'000'000;
// Part of the ratio and of the slack that is used. The rest is a reserve, since
// a service's counts and those of this process differ by the requests in
// flight.
constexpr double kUsablePart = 0.8;
// Requests count in this many spans, each time by that part.
constexpr int kSpansOfRequest = 2;
// Requests that arrive this close to one another are kept as one.
constexpr std::chrono::milliseconds kPortionSpan(50);

int64_t ToMillionths(double retries) {
  return std::llround(retries * kMillionthsPerRetry);
}

double ToRetries(int64_t millionths) {
  return static_cast<double>(millionths) /
         static_cast<double>(kMillionthsPerRetry);
}

}  // namespace

void RetryBudgetShare::NoteRequest(base::Instant now) {
  this->DropExpired(now);
  const int64_t part =
      ToMillionths(kUsablePart * this->settings.ratio / kSpansOfRequest);
  if (this->earned.empty() || now - this->earned.back().at >= kPortionSpan) {
    this->earned.push_back({now, 0});
  }
  this->earned.back().millionths += part;
}

bool RetryBudgetShare::TrySpend(std::optional<int64_t> slack_divisor,
                                base::Instant now) {
  if (!this->CanSpend(slack_divisor, now)) {
    return false;
  }
  this->spent.push_back({now, kMillionthsPerRetry});
  return true;
}

bool RetryBudgetShare::CanSpend(std::optional<int64_t> slack_divisor,
                                base::Instant now,
                                int64_t count) {
  this->DropExpired(now);
  return this->LeastCredit(now) + this->SlackPart(slack_divisor) >=
         count * kMillionthsPerRetry;
}

RetryBudgetShare::Balance RetryBudgetShare::Remaining(
    std::optional<int64_t> slack_divisor,
    base::Instant now) {
  this->DropExpired(now);
  const int64_t credit = this->LeastCredit(now);
  const int64_t slack =
      this->SlackPart(slack_divisor) + std::min<int64_t>(credit, 0);
  return {ToRetries(std::max<int64_t>(credit, 0)),
          ToRetries(std::max<int64_t>(slack, 0))};
}

int64_t RetryBudgetShare::SlackPart(
    std::optional<int64_t> slack_divisor) const {
  if (!slack_divisor.has_value()) {
    return 0;
  }
  return ToMillionths(kUsablePart * this->settings.slack) /
         std::max<int64_t>(*slack_divisor, 1);
}

int64_t RetryBudgetShare::LeastCredit(base::Instant now) const {
  const base::Duration window = this->settings.window;
  int64_t credit = 0;
  for (const Portion& portion : this->earned) {
    credit += portion.millionths;
  }
  for (const Portion& portion : this->spent) {
    credit -= portion.millionths;
  }
  auto oldest = this->earned.begin();
  // Takes off what no longer counts in spans that end just before `end`.
  const auto expire_before = [&](base::Instant end) {
    for (; oldest != this->earned.end() &&
           oldest->at + kSpansOfRequest * window < end;
         ++oldest) {
      credit -= oldest->millionths;
    }
  };
  // The credit is least just before a retry leaves the span.
  int64_t least = credit;
  for (const Portion& portion : this->spent) {
    expire_before(portion.at + window);
    least = std::min(least, credit);
    credit += portion.millionths;
  }
  expire_before(now + window);
  return std::min(least, credit);
}

void RetryBudgetShare::DropExpired(base::Instant now) {
  const base::Duration window = this->settings.window;
  while (!this->earned.empty() &&
         this->earned.front().at <= now - kSpansOfRequest * window) {
    this->earned.pop_front();
  }
  while (!this->spent.empty() && this->spent.front().at <= now - window) {
    this->spent.pop_front();
  }
}

}  // namespace carawayvalve::core
