#ifndef CARAWAYVALVE_GATEWAY_SRC_LATE_REQUEST_SCHEDULER_H_
#define CARAWAYVALVE_GATEWAY_SRC_LATE_REQUEST_SCHEDULER_H_

#include <functional>
#include <map>

#include "carawayvalve/core/late_request_queue.h"
#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::gateway {

// Holds late requests and dispatches them, the most urgent first, once a
// backend server has capacity for them.
class LateRequestScheduler {
 public:
  // Tries to dispatch the request. Returns whether it no longer waits, be it
  // dispatched or refused.
  using TryDispatch = std::function<bool()>;

  explicit LateRequestScheduler(net::EventLoop& loop) : timer(loop) {}

  // Adds a request, whose `try_dispatch` is called at intervals until it
  // returns true or the request is removed. A lower priority is more urgent.
  core::LateRequestQueue::Ticket Add(int64_t priority,
                                     base::Instant deadline,
                                     TryDispatch try_dispatch);
  // Removes a request that ends while it waits.
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
