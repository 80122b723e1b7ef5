#include "carawayvalve/core/request_pacer.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

// Requests that were sent within this time before a limit count against it.
constexpr base::Milliseconds kCountedTime(500);
// A sender doesn't pause for longer because of them.
constexpr base::Milliseconds kMaxPause(1500);

}  // namespace

void RequestPacer::SetRate(std::optional<double> per_second,
                           base::Instant now) {
  const base::Duration before = this->interval;
  if (!per_second.has_value()) {
    this->interval = {};
    this->next = {};
    return;
  }
  this->interval = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(1 / *per_second));
  if (before.count() > 0) {
    const base::Duration left = std::max(this->next - now, base::Duration(0));
    const double scale = std::chrono::duration<double>(this->interval) /
                         std::chrono::duration<double>(before);
    this->next = now + std::chrono::duration_cast<base::Duration>(left * scale);
    return;
  }
  base::Instant due = now - kCountedTime;
  for (const base::Instant at : this->sent) {
    if (at > now - kCountedTime) {
      due = std::max(due, at) + this->interval;
    }
  }
  const base::Duration max_pause =
      std::max<base::Duration>(kMaxPause, this->interval);
  this->next = std::clamp(due, now + this->interval, now + max_pause);
}

void RequestPacer::NoteSent(base::Instant now) {
  this->sent.push_back(now);
  while (this->sent.front() <= now - kCountedTime) {
    this->sent.pop_front();
  }
  if (this->interval.count() > 0) {
    this->next = std::max(this->next, now) + this->interval;
  }
}

base::Instant RequestPacer::SendTimeBehind(int64_t ahead,
                                           base::Instant now) const {
  return std::max(this->next, now) + this->interval * ahead;
}

}  // namespace carawayvalve::core
