#ifndef CARAWAYVALVE_BASE_LISTEN_H_
#define CARAWAYVALVE_BASE_LISTEN_H_

#include <exception>
#include <string>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/log.h"

namespace carawayvalve::base {

// An address can't be listened on at present, usually since another process
// uses it.
class ListenError : public Error {
 public:
  using Error::Error;
};

// The process was told to stop before it could listen on all its addresses.
class StoppedBeforeListening : public std::exception {
 public:
  const char* what() const noexcept override {
    return "stopped before listening";
  }
};

// Logs failures to listen, each reason once in a row, and waits between the
// tries.
class ListenRetry {
 public:
  explicit ListenRetry(const Log& log) : log(log) {}

  // Throws StoppedBeforeListening if a stop signal arrives meanwhile.
  void Wait(const ListenError& error);

 private:
  const Log& log;
  std::string logged;
};

// Returns what `open` returns, a server that listens. While it throws
// ListenError, tries again. The stop signals must be blocked; throws
// StoppedBeforeListening when one arrives.
template <typename Open>
auto OpenWhenFree(const Log& log, const Open& open) {
  ListenRetry retry(log);
  for (;;) {
    try {
      return open();
    } catch (const ListenError& error) {
      retry.Wait(error);
    }
  }
}

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_LISTEN_H_
