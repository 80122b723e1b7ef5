#ifndef CARAWAYVALVE_GATEWAY_SRC_LATE_REQUEST_SCHEDULER_H_
#define CARAWAYVALVE_GATEWAY_SRC_LATE_REQUEST_SCHEDULER_H_

#include <functional>
#include <map>

#include "carawayvalve/core/late_request_queue.h"
#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::gateway {

// Keeps late requests until there is room for them.
class LateRequestScheduler {
 public:
  // Tries to go on. Returns whether the request has left the room, be it
  // served or refused.
  using TryDispatch = std::function<bool()>;

  explicit LateRequestScheduler(net::EventLoop& loop) : timer(loop) {}

  core::LateRequestQueue::Ticket Add(int64_t priority,
                                       base::Instant deadline,
                                       TryDispatch try_dispatch);
  // For a request that ends while it waits.
  void Remove(core::LateRequestQueue::Ticket ticket);
  size_t size() const { return this->queue.size(); }

 private:
  void Tick();

  core::LateRequestQueue queue;
  std::map<core::LateRequestQueue::Ticket, TryDispatch> requests;
  net::Timer timer;
  bool ticking = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_LATE_REQUEST_SCHEDULER_H_
