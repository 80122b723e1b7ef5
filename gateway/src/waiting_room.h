#ifndef CARAWAYVALVE_GATEWAY_SRC_WAITING_ROOM_H_
#define CARAWAYVALVE_GATEWAY_SRC_WAITING_ROOM_H_

#include <functional>
#include <map>

#include "carawayvalve/core/late_request_queue.h"
#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::gateway {

// Keeps late requests until there is room for them.
class WaitingRoom {
 public:
  // Tries to go on. Returns whether the request has left the room, be it
  // served or refused.
  using TryToLeave = std::function<bool()>;

  explicit WaitingRoom(net::EventLoop& loop) : timer(loop) {}

  core::LateRequestQueue::Ticket Enter(int64_t priority,
                                       base::Instant deadline,
                                       TryToLeave try_to_leave);
  // For a request that ends while it waits.
  void Leave(core::LateRequestQueue::Ticket ticket);
  size_t size() const { return this->queue.size(); }

 private:
  void Tick();

  core::LateRequestQueue queue;
  std::map<core::LateRequestQueue::Ticket, TryToLeave> requests;
  net::Timer timer;
  bool ticking = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_WAITING_ROOM_H_
