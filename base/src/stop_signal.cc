#include "carawayvalve/base/stop_signal.h"

#include <chrono>
#include <csignal>
#include <ctime>

namespace carawayvalve::base {

namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

bool WaitForStopSignal(Milliseconds timeout) {
  const sigset_t signals = StopSignals();
  const auto whole_seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout);
  timespec wait{};
  wait.tv_sec = whole_seconds.count();
  wait.tv_nsec = std::chrono::nanoseconds(timeout - whole_seconds).count();
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

}  // namespace carawayvalve::base
