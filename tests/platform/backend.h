#ifndef CARAWAYVALVE_TESTS_PLATFORM_BACKEND_H_
#define CARAWAYVALVE_TESTS_PLATFORM_BACKEND_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carawayvalve/net/http_server.h"

namespace carawayvalve::tests {

// What a backend server saw of one request that it ran.
struct BackendRun {
  std::string request;
  std::string backend;
  std::string target;
  std::string account;
  // A key that came along, which must never happen.
  std::string key;
  base::Instant at;
  // The stream went on after this event.
  std::string resumed_after;
};

// A request that reached a backend server, whether it ran or not.
struct BackendArrival {
  std::string request;
  base::Instant at;
  // Only the prompt was to be read.
  bool prefill_only = false;
  bool declined = false;
};

// Stands in for a backend server of the platform: a plain service, or a model
// whose answers are streams of events. Bodies say what it does: "fail" answers
// 500, and a number of events for streams.
class Backend {
 public:
  struct Settings {
    std::string id;
    // Requests at a time; more are declined.
    size_t slots = 16;
    base::Milliseconds duration{20};
    // Between two events of a stream.
    base::Milliseconds event_interval{10};
    int events = 5;
  };

  Backend(net::EventLoop& loop,
          const Settings& settings,
          std::vector<BackendRun>& runs);
  ~Backend();

  uint16_t port() const { return this->server.port(); }
  const std::string& id() const { return this->settings.id; }

  // Takes requests and never answers them.
  bool never_answers = false;
  // Runs so many of the next requests and loses their answers.
  int lost_answers = 0;
  // How many prompts it has read for others.
  int prefill_count = 0;
  // Declines every request as not run.
  bool declines = false;
  // Answers every request with a failure.
  bool fails = false;
  // Added to the time that each request takes; one whose deadline comes first
  // ends with 504.
  base::Milliseconds extra_duration{0};
  // What reached it, in order.
  std::vector<BackendArrival> arrivals;

 private:
  struct PendingRequest {
    std::shared_ptr<net::Exchange> exchange;
    std::unique_ptr<net::Timer> timer;
    int next_event = 1;
  };

  void OnRequest(const std::shared_ptr<net::Exchange>& exchange);
  bool OnControl(const std::shared_ptr<net::Exchange>& exchange);
  // From the request to the answer, cut short by its deadline.
  base::Milliseconds DurationOf(const net::Exchange& exchange) const;
  void Answer(int64_t number);
  void NextEvent(int64_t number);
  net::HeaderFields Fields(const net::Exchange& exchange) const;
  std::string Field(const net::Exchange& exchange, const char* name) const;

  net::EventLoop& loop;
  Settings settings;
  std::vector<BackendRun>& runs;
  std::map<int64_t, PendingRequest> pending;
  int64_t last_number = 0;
  net::HttpServer server;
};

// Returns the body that a backend server answers a plain request with.
std::string PlainAnswer(const std::string& request, const std::string& backend);
// Returns one event of the answer to a stream's request.
std::string StreamEvent(const std::string& request, int number);

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_BACKEND_H_
