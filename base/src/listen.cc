#include "carawayvalve/base/listen.h"

#include "carawayvalve/base/stop_signal.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::base {

namespace {

constexpr Milliseconds kRetryInterval(100);

}  // namespace

void ListenRetry::Wait(const ListenError& error) {
  if (error.what() != this->logged) {
    this->logged = error.what();
    this->log.Warn(std::string(error.what()) + "; trying again.");
  }
  if (WaitForStopSignal(kRetryInterval)) {
    throw StoppedBeforeListening();
  }
}

}  // namespace carawayvalve::base
