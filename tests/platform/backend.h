#ifndef CARAWAYVALVE_TESTS_PLATFORM_BACKEND_H_
#define CARAWAYVALVE_TESTS_PLATFORM_BACKEND_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "carawayvalve/net/http_server.h"

namespace carawayvalve::tests {

// The field of an answer that names the rate of requests that are taken.
inline constexpr char kRateLimitField[] = "Server-Limit";

// The field of a request that names the request which began the stream that it
// takes up.
inline constexpr char kResumedStreamField[] = "Resumes";

// A request that a backend server ran, as it was received.
struct BackendRun {
  std::string request;
  std::string backend;
  std::string target;
  std::string account;
  // The received key; must be empty, as keys must not reach backend servers.
  std::string key;
  base::Instant at;
  // The last event id that the stream resumed after; empty for a new stream.
  std::string resumed_after;
};

// A request that reached a backend server, whether it ran or not.
struct BackendArrival {
  std::string request;
  base::Instant at;
  // The request asked only for prefill.
  bool prefill_only = false;
  bool declined = false;
};

// Stands in for a backend server of the platform: a plain service, or a model
// whose answers are event streams. The body "fail" makes it answer 500; a model
// sends `Settings::events` events.
class Backend {
 public:
  struct Settings {
    std::string id;
    // Concurrent requests; further ones are declined.
    size_t slots = 16;
    // Time from a request to its answer or first event.
    base::Milliseconds duration{20};
    // Time between two events of a stream.
    base::Milliseconds event_interval{10};
    int events = 5;
    // The version of its software, which it writes into each event; empty for
    // none.
    std::string version;
  };

  Backend(net::EventLoop& loop,
          const Settings& settings,
          std::vector<BackendRun>& runs);
  ~Backend();

  uint16_t port() const { return this->listening_port; }
  const std::string& id() const { return this->settings.id; }
  // Returns whether it runs a request.
  bool busy() const { return !this->pending.empty(); }

  // Accepts requests and never answers them.
  bool never_answers = false;
  // Number of upcoming requests to run without answering.
  int lost_answers = 0;
  // Number of prefill-only requests it has run.
  int prefill_count = 0;
  // Declines every request, reporting it as not run.
  bool declines = false;
  // Says in every answer that it leaves.
  bool leaves = false;
  // The requests a second that it says in every answer it takes; empty for any
  // number. It doesn't enforce the limit.
  std::string rate_limit;
  // What its answers say of its load; empty for nothing.
  std::string stated_load;
  // The Retry-After of declined requests, in seconds; empty for none.
  std::string retry_after;
  // Answers every request with 500.
  bool fails = false;
  // How the end of a stream is marked.
  net::BodyFraming stream_framing = net::BodyFraming::kChunked;
  // Number of upcoming streams that end inside the second event of their run.
  int cut_streams = 0;
  // The model crashes when it begins to answer a prompt with this part; empty
  // for none.
  std::string crashing_part;
  // It crashes when it begins to answer a request with this body; empty for
  // none.
  std::string crashing_body;
  // Called when it crashes.
  std::function<void()> on_crash = [] {};
  // Added to the duration of each request. A request whose deadline expires
  // first is answered with 504.
  base::Milliseconds extra_duration{0};
  // Requests received, in order.
  std::vector<BackendArrival> arrivals;
  // When control calls, such as orders, were received.
  std::vector<base::Instant> control_calls;

 private:
  struct PendingRequest {
    std::shared_ptr<net::Exchange> exchange;
    std::unique_ptr<net::Timer> timer;
    int first_event = 1;
    int next_event = 1;
  };

  void OnRequest(const std::shared_ptr<net::Exchange>& exchange);
  bool OnControl(const std::shared_ptr<net::Exchange>& exchange);
  // Returns the time from the request to its answer, limited by its deadline.
  base::Milliseconds DurationOf(const net::Exchange& exchange) const;
  void Answer(int64_t number);
  void NextEvent(int64_t number);
  // Closes all connections and refuses further ones.
  void Crash();
  net::HeaderFields Fields(const net::Exchange& exchange) const;
  // Returns the fields of an answer without a signature.
  net::HeaderFields UnsignedFields(const net::Exchange& exchange) const;
  std::string Field(const net::Exchange& exchange, const char* name) const;

  net::EventLoop& loop;
  Settings settings;
  std::vector<BackendRun>& runs;
  std::map<int64_t, PendingRequest> pending;
  int64_t last_number = 0;
  std::unique_ptr<net::HttpServer> server;
  uint16_t listening_port;
};

// The lines of an answer's head that say that the request wasn't run, and that
// the answer is genuine.
inline constexpr char kNotRunLine[] = "X-Not-Run: 1\r\n";
inline constexpr char kSignatureLine[] = "X-Response-Sig: s\r\n";
// Returns the head of a genuine 200 answer to the request r1 with `fields`, as
// it is sent.
std::string AnswerHead(const std::string& fields);
// The same of an answer without a signature.
std::string UnsignedHead(const std::string& fields);
// The same of a genuine 500.
std::string FailureHead(const std::string& fields);
// The same of a refusal, which says that the request wasn't run.
std::string RefusalHead(const std::string& fields);
// Returns the body of a backend server's answer to a plain request.
std::string PlainAnswer(const std::string& request, const std::string& backend);
// Returns one event of the answer to a streaming request; a version is added as
// "@VERSION".
std::string StreamEvent(const std::string& request,
                        int number,
                        const std::string& version = "");

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_BACKEND_H_
