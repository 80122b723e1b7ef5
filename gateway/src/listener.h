#ifndef CARAWAYVALVE_GATEWAY_SRC_LISTENER_H_
#define CARAWAYVALVE_GATEWAY_SRC_LISTENER_H_

#include <functional>
#include <string>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/journal.h"
#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::gateway {

// Opens one of a gateway's listeners. While that fails, for instance because
// another process uses the port, logs the reason and tries again.
class Listener {
 public:
  // Starts listening, or throws base::ListenError.
  using Open = std::function<void()>;

  Listener(net::EventLoop& loop, base::Journal& journal);

  // Calls `open` now and again until it succeeds, then `on_open`. `name` and
  // `address` are logged.
  void Start(const std::string& name,
             const base::Address& address,
             Open open,
             std::function<void()> on_open);
  bool is_open() const { return this->opened; }

 private:
  void Try();

  base::Journal& journal;
  net::Timer retry_timer;
  std::string name;
  base::Address address;
  Open open;
  std::function<void()> on_open;
  bool opened = false;
  // The reason that was logged last; empty before the first failure.
  std::string logged_reason;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_LISTENER_H_
