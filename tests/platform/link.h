#ifndef CARAWAYVALVE_TESTS_PLATFORM_LINK_H_
#define CARAWAYVALVE_TESTS_PLATFORM_LINK_H_

#include <cstdint>
#include <memory>
#include <string>

#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::tests {

// A TCP relay on loopback between two processes that can delay, slow down,
// stall, refuse and reset connections, in one direction or both.
class Link {
 public:
  enum class Mode {
    kOpen,
    // Bytes are held back in both directions; connections stay open.
    kSilent,
    // Only bytes from the connecting side pass.
    kOneWay,
    // New and open connections are closed.
    kRefusing,
  };

  Link(net::EventLoop& loop, uint16_t target_port);
  ~Link();

  uint16_t port() const;
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->port());
  }

  void Set(Mode mode);
  void SetDelay(base::Milliseconds delay);
  // Limits what all connections together bring to the connecting side, in bytes
  // a second; 0 for no limit.
  void SetRate(int64_t bytes_per_second);
  // Resets all connections that are open now.
  void Reset();
  bool undisturbed() const;

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_SOAK_LINK_H_
