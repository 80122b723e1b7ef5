#ifndef CARAWAYVALVE_ENTRY_SRC_CALLER_HTTP_SERVER_H_
#define CARAWAYVALVE_ENTRY_SRC_CALLER_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "exchange.h"
#include "http_mapping.h"

namespace carawayvalve::entry {

// Serves callers over HTTP/1.1. A request that waits for its answer occupies a
// connection but no thread.
class CallerHttpServer {
 public:
  struct Limits {
    unsigned threads = 4;
    unsigned max_connections = 10000;
    unsigned max_idle_s = 60;
    size_t max_header_bytes = 32 * 1024;
    // Called for each request, since the configuration may change it.
    std::function<int64_t()> max_body_bytes;
  };

  // Starts one request, whose answer goes through the exchange. Must not block.
  using Handler = std::function<void(const CallerRequest& request,
                                     std::shared_ptr<Exchange> exchange)>;

  // Starts listening. Throws base::ListenError if that fails.
  CallerHttpServer(const std::string& address,
                   const Limits& limits,
                   Handler handler);
  // Closes every connection.
  ~CallerHttpServer();

  CallerHttpServer(const CallerHttpServer&) = delete;
  CallerHttpServer& operator=(const CallerHttpServer&) = delete;

  // Accepts no new connections and closes keep-alive connections after their
  // current answer.
  void StopAccepting();
  // Returns the number of requests whose answer hasn't been sent completely.
  int64_t open_requests() const;

 private:
  friend struct CallerHttpServerCallbacks;
  struct Impl;

  std::unique_ptr<Impl> impl;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CALLER_HTTP_SERVER_H_
