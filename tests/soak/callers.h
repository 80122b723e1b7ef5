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

// One request of a caller and what it got.
struct CallerCall {
  std::string id;
  RequestType type = RequestType::kPayment;
  std::string account;
  std::string key;
  base::Instant sent;
  base::Instant ended;
  // 0 when there was no answer, or no whole one.
  int status = 0;
  std::string body;
  bool whole = false;
  // It was sent on a connection that had carried others.
  bool kept_connection = false;
};

// Callers that send one request after the other, each over its own kept
// connections, to gateways that they draw.
class Callers {
 public:
  struct Account {
    std::string name;
    std::string key;
  };
  struct Surroundings {
    // The present addresses of the gateways.
    std::function<std::vector<std::string>()> gateways;
    std::function<std::vector<Account>()> accounts;
  };

  Callers(net::EventLoop& loop,
          uint32_t seed,
          int count,
          Surroundings surroundings);

  void Start();
  // Sends no new requests.
  void Stop() { this->stopped = true; }
  const std::vector<std::unique_ptr<CallerCall>>& calls() const {
    return this->all;
  }
  int64_t under_way() const { return this->open; }

 private:
  struct Caller {
    std::unique_ptr<net::HttpClient> client;
    std::unique_ptr<net::Timer> timer;
    std::unique_ptr<net::Call> call;
  };

  void Next(size_t index);
  void Send(size_t index);
  void End(size_t index, CallerCall& call);

  net::EventLoop& loop;
  std::mt19937 generator;
  Surroundings surroundings;
  std::vector<Caller> callers;
  std::vector<std::unique_ptr<CallerCall>> all;
  int64_t open = 0;
  int64_t last_id = 0;
  bool stopped = false;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_SOAK_CALLERS_H_
