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

// Runs handlers of sockets, timers and signals one after the other in the
// thread that calls Run. Nothing of this package may be used from another
// thread.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Returns after Stop.
  void Run();
  void Stop();

  // Calls `handler` from Run, after the handler that runs now.
  void Post(std::function<void()> handler);

  // Calls `handler` with the number of each signal that arrives.
  void OnSignals(const std::vector<int>& signals,
                 std::function<void(int)> handler);

  detail::LoopState& state() { return *this->loop; }

 private:
  std::unique_ptr<detail::LoopState> loop;
};

// Calls a handler once, later. Destroying the timer cancels it. Waits don't
// count time in which the host was suspended.
class Timer {
 public:
  explicit Timer(EventLoop& loop);
  ~Timer();
  Timer(Timer&&) noexcept;
  Timer& operator=(Timer&&) noexcept;

  // Replaces what was scheduled before.
  void Start(base::Duration wait, std::function<void()> handler);
  void Cancel();

 private:
  std::shared_ptr<detail::TimerState> timer;
};

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_EVENT_LOOP_H_
