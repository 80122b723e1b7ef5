#ifndef CARAWAYVALVE_NET_TESTS_LOOP_THREAD_H_
#define CARAWAYVALVE_NET_TESTS_LOOP_THREAD_H_

#include <functional>
#include <thread>

#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::net {

// Runs the loop while `actions` runs in another thread.
inline void RunWhile(EventLoop& loop, const std::function<void()>& actions) {
  std::thread worker([&] {
    actions();
    loop.Post([&] { loop.Stop(); });
  });
  loop.Run();
  worker.join();
}

}  // namespace carawayvalve::net

#endif  // CARAWAYVALVE_NET_TESTS_LOOP_THREAD_H_
