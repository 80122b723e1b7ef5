#include "carawayvalve/core/retry_share.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

// A part of the slack that stays unused: a service's counts and ours differ by
// what is under way.
constexpr double kUsedSlack = 0.8;
// The part of the ratio that is used, for the same reason.
constexpr double kUsedRatio = 0.9;

void DropOlder(std::deque<base::Instant>& times, base::Instant limit) {
  while (!times.empty() && times.front() <= limit) {
    times.pop_front();
  }
}

}  // namespace

void RetryShare::NoteRequest(base::Instant now) {
  this->Forget(now);
  this->requests.push_back(now);
}

bool RetryShare::TrySpend(std::optional<int64_t> parts, base::Instant now) {
  if (!this->HasLeft(parts, now)) {
    return false;
  }
  this->retries.push_back(now);
  return true;
}

bool RetryShare::HasLeft(std::optional<int64_t> parts, base::Instant now) {
  const Figures figures = this->At(parts, now);
  return static_cast<double>(figures.retries) + 1 <= figures.allowed;
}

RetryShare::Figures RetryShare::At(std::optional<int64_t> parts,
                                   base::Instant now) {
  this->Forget(now);
  Figures figures;
  figures.retries = static_cast<int64_t>(this->retries.size());
  figures.requests = static_cast<int64_t>(this->requests.size());
  figures.allowed =
      kUsedRatio * this->settings.ratio * static_cast<double>(figures.requests);
  if (parts.has_value()) {
    figures.allowed += kUsedSlack * this->settings.slack /
                       static_cast<double>(std::max<int64_t>(*parts, 1));
  }
  return figures;
}

void RetryShare::Forget(base::Instant now) {
  DropOlder(this->requests, now - this->settings.window);
  DropOlder(this->retries, now - this->settings.window);
}

}  // namespace carawayvalve::core
