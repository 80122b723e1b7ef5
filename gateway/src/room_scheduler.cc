#include "room_scheduler.h"

#include <utility>

#include "carawayvalve/base/time.h"

namespace carawayvalve::gateway {

namespace {

constexpr base::Milliseconds kPollInterval(25);
// Number of requests reconsidered in a round; those behind them have less claim
// to room.
constexpr int kMaxTriesPerTick = 48;

}  // namespace

RoomScheduler::Ticket RoomScheduler::Add(const core::RoomRequest& request,
                                         const core::RoomOffer& offer,
                                         Reconsider reconsider) {
  const Ticket ticket = this->room.Add(request, offer, base::Now());
  this->requests[ticket] = std::move(reconsider);
  if (!this->ticking) {
    this->ticking = true;
    this->timer.Start(kPollInterval, [this] { this->Tick(); });
  }
  return ticket;
}

void RoomScheduler::Remove(Ticket ticket) {
  this->room.Remove(ticket);
  this->requests.erase(ticket);
}

void RoomScheduler::Tick() {
  int tries = 0;
  for (const Ticket ticket : this->room.InOrder(base::Now())) {
    const auto found = this->requests.find(ticket);
    if (found == this->requests.end()) {
      continue;
    }
    if (++tries > kMaxTriesPerTick) {
      break;
    }
    // Copied because the callback may remove its own request.
    const Reconsider reconsider = found->second;
    if (reconsider()) {
      this->Remove(ticket);
    }
  }
  this->ticking = this->room.size() > 0;
  if (this->ticking) {
    this->timer.Start(kPollInterval, [this] { this->Tick(); });
  }
}

}  // namespace carawayvalve::gateway
