#include "late_request_scheduler.h"

#include <utility>

namespace carawayvalve::gateway {

namespace {

// Interval between two rounds of dispatch; half of the backlog that an engine
// may have when a late request is sent to it.
constexpr base::Milliseconds kPollInterval(50);
// Number of requests tried in a round; those behind them are less urgent.
constexpr int kMaxTriesPerTick = 64;

}  // namespace

core::LateRequestQueue::Ticket LateRequestScheduler::Add(
    int64_t priority,
    base::Instant deadline,
    TryDispatch try_dispatch) {
  const auto ticket = this->queue.Add(priority, deadline);
  this->requests[ticket] = std::move(try_dispatch);
  if (!this->ticking) {
    this->ticking = true;
    this->timer.Start(kPollInterval, [this] { this->Tick(); });
  }
  return ticket;
}

void LateRequestScheduler::Remove(core::LateRequestQueue::Ticket ticket) {
  this->queue.Remove(ticket);
  this->requests.erase(ticket);
}

void LateRequestScheduler::Tick() {
  int tries = 0;
  for (const auto ticket : this->queue.InOrder()) {
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end()) {
      continue;
    }
    if (++tries > kMaxTriesPerTick) {
      break;
    }
    // Copied because the callback may remove its own request.
    const TryDispatch try_dispatch = found->second;
    if (try_dispatch()) {
      this->Remove(ticket);
    }
  }
  this->ticking = this->queue.size() > 0;
  if (this->ticking) {
    this->timer.Start(kPollInterval, [this] { this->Tick(); });
  }
}

}  // namespace carawayvalve::gateway
