#ifndef CARAWAYVALVE_TESTS_PLATFORM_SIZE_BACKEND_H_
#define CARAWAYVALVE_TESTS_PLATFORM_SIZE_BACKEND_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "carawayvalve/net/http_server.h"

namespace carawayvalve::tests {

// A backend server that answers "/look/N" with N bytes, "/tell/N" with N events
// of 1,000 bytes, and "/tell/endless" with such events, one each 10 ms, until
// its caller leaves.
class SizeBackend {
 public:
  SizeBackend();
  ~SizeBackend();
  SizeBackend(const SizeBackend&) = delete;
  SizeBackend& operator=(const SizeBackend&) = delete;

  uint16_t port() const { return this->server.port(); }
  // Returns the number of endless streams whose callers have left.
  int left() const { return this->left_count; }

 private:
  void Answer(const std::shared_ptr<net::Exchange>& exchange);
  // Sends an event to each endless stream.
  void SendMore();

  std::atomic<int> left_count = 0;
  net::EventLoop loop;
  std::vector<std::shared_ptr<net::Exchange>> endless;
  net::Timer timer{this->loop};
  net::HttpServer server;
  std::thread thread;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_SIZE_BACKEND_H_
