#ifndef CARAWAYVALVE_TESTS_FAKES_FAULTS_H_
#define CARAWAYVALVE_TESTS_FAKES_FAULTS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <stop_token>
#include <string>

#include "http_server.h"

namespace carawayvalve::fakes {

// Holds the faults that a test has injected and counts calls. Thread-safe.
class Faults {
 public:
  explicit Faults(std::stop_token stop);

  // Returns whether the request is POST /fault or GET /calls.
  static bool IsControl(const Request& request);
  // Answers POST /fault and GET /calls.
  Reply Control(const Request& request);

  void Count(const Request& request);
  bool IsDown() const;
  // Returns whether to lose the answer to this request; if so, uses up one of
  // the lost answers.
  bool TakeLostAnswer(const Request& request);
  // Waits for the currently injected answer delay.
  void DelayAnswer() const;
  // Adds to the answer the rate of requests that a test lets the stand-in name.
  void AddRateLimit(Reply& reply) const;

 private:
  void Set(const nlohmann::json& change);

  const std::stop_token stop;
  mutable std::mutex mutex;
  int64_t delay_ms = 0;
  bool down = false;
  int64_t lose_answers = 0;
  // Requests a second; empty for no limit.
  std::string rate_limit;
  std::map<std::string, int64_t> calls;
};

// Sleeps for `delay_ms` or until a stop is requested.
void SleepUnlessStopped(const std::stop_token& stop, int64_t delay_ms);

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_FAULTS_H_
