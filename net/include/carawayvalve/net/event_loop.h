#ifndef CARAWAYVALVE_NET_EVENT_LOOP_H_
#define CARAWAYVALVE_NET_EVENT_LOOP_H_

#include <functional>
#include <memory>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::net {

namespace detail {
struct LoopState;
struct TimerState;
}  // namespace detail

// Runs the handlers of sockets, timers and signals one at a time in the thread
// that calls Run. Nothing in this package may be used from another thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs handlers until Stop is called. May be called again afterwards.
  void Run();
  void Stop();

  // Queues `handler` to run after the current handler has returned.
  void Post(std::function<void()> handler);

  // Calls `handler` with the number of each signal that arrives.
  void OnSignals(const std::vector<int>& signals,
                 std::function<void(int)> handler);

  detail::LoopState& state() { return *this->loop; }

 private:
  std::unique_ptr<detail::LoopState> loop;
};

// Calls a handler once after a wait. Destroying the timer cancels it. Time in
// which the host is suspended doesn't count towards the wait.
class Timer {
 public:
  explicit Timer(EventLoop& loop);
  ~Timer();
  Timer(Timer&&) noexcept;
  Timer& operator=(Timer&&) noexcept;

  // Schedules `handler`, replacing one that is already scheduled.
  void Start(base::Duration wait, std::function<void()> handler);
  void Cancel();

 private:
  std::shared_ptr<detail::TimerState> timer;
};

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_EVENT_LOOP_H_
