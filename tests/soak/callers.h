#ifndef CARAWAYVALVE_TESTS_SOAK_CALLERS_H_
#define CARAWAYVALVE_TESTS_SOAK_CALLERS_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "carawayvalve/net/http_client.h"

namespace carawayvalve::tests {

enum class RequestType { kPayment, kLookup, kStream, kResumableStream };

// One request of a caller and its answer.
struct CallerCall {
  std::string id;
  RequestType type = RequestType::kPayment;
  // The number of the prompt, of those for models.
  int prompt = 0;
  std::string account;
  std::string key;
  base::Instant sent;
  base::Instant ended;
  // 0 if no response head arrived.
  int status = 0;
  std::string body;
  bool complete = false;
  // The request was sent on a connection that had carried others.
  bool kept_connection = false;
  // Its prompt has the part that crashes engines.
  bool poison = false;
  // The gateway that it was sent to.
  std::string gateway;
  // How long a refusal asks the caller to wait; 0 if it doesn't.
  base::Milliseconds retry_after{0};
  // The refused request that this one repeats; empty for the first one.
  std::string repeats;
  // The request that brought the first event of the stream that this one takes
  // up, and the last event that arrived; empty for a new stream.
  std::string resumes;
  std::string after_event;
};

// The part of a prompt that crashes engines.
inline constexpr char kPoisonPart[] = "poison";

// Callers that send one request at a time, each over its own kept connections,
// to randomly chosen gateways.
class Callers {
 public:
  struct Account {
    std::string name;
    std::string key;
  };
  struct Environment {
    // Returns the addresses of the gateways that accept new requests.
    std::function<std::vector<std::string>()> gateways;
    std::function<std::vector<Account>()> accounts;
    // The fraction of the requests to models that have the poison part.
    double poison_fraction = 0;
    // Callers that were refused repeat the request once, at another gateway,
    // when they are asked to.
    bool repeat_refused = false;
    // Callers take up resumable streams that break off, at another gateway.
    bool take_up_streams = false;
  };

  Callers(net::EventLoop& loop,
          uint32_t seed,
          int count,
          Environment environment);

  void Start();
  // Stops sending new requests.
  void Stop() { this->stopped = true; }
  const std::vector<std::unique_ptr<CallerCall>>& calls() const {
    return this->all_calls;
  }
  int64_t in_flight() const { return this->in_flight_count; }

 private:
  struct Caller {
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<net::Timer> timer;
    std::unique_ptr<net::Call> call;
  };

  void ScheduleNext(size_t index);
  // Draws a request and sends it.
  void SendNew(size_t index);
  // Sends a refused request, or the rest of a broken stream, once more.
  void Repeat(size_t index, const CallerCall& ended);
  // Returns whether the request is a stream that its caller takes up.
  bool IsTakenUp(const CallerCall& call) const;
  void Send(size_t index, CallerCall& call, const std::string& gateway);
  void Finish(size_t index, CallerCall& call);

  net::EventLoop& loop;
  std::mt19937 generator;
  // Separate, so that poison requests don't change the other draws of a seed.
  std::mt19937 poison_generator;
  // Separate for the same reason.
  std::mt19937 repeat_generator;
  Environment environment;
  std::vector<Caller> callers;
  std::vector<std::unique_ptr<CallerCall>> all_calls;
  int64_t in_flight_count = 0;
  int64_t last_id = 0;
  bool stopped = false;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_SOAK_CALLERS_H_
