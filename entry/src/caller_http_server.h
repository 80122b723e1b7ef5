#ifndef CARAWAYVALVE_ENTRY_SRC_CALLER_HTTP_SERVER_H_
#define CARAWAYVALVE_ENTRY_SRC_CALLER_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "exchange.h"
#include "http_mapping.h"

namespace carawayvalve::entry {

// Listens for callers over HTTP/1.1. A waiting caller costs a connection, no
// thread.
class CallerHttpServer {
 public:
  struct Limits {
    unsigned threads = 4;
    unsigned max_connections = 10000;
    unsigned max_idle_s = 60;
    size_t max_header_bytes = 32 * 1024;
    // Asked at each request, since the configuration may change it.
    std::function<int64_t()> max_body_bytes;
  };

  // Begins to answer one request through the exchange; must not block.
  using Handler = std::function<void(const CallerRequest& request,
                                     std::shared_ptr<Exchange> exchange)>;

  // Listens from here on. Throws base::Error when it can't.
  CallerHttpServer(const std::string& address,
                const Limits& limits,
                Handler handler);
  // Closes every connection.
  ~CallerHttpServer();

  CallerHttpServer(const CallerHttpServer&) = delete;
  CallerHttpServer& operator=(const CallerHttpServer&) = delete;

  // Accepts no new connection from here on and closes kept-alive ones after
  // their present answer.
  void StopAccepting();
  // Requests whose answer hasn't been sent to its end.
  int64_t open_requests() const;

 private:
  friend struct CallerHttpServerCallbacks;
  struct Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CALLER_HTTP_SERVER_H_
