#ifndef CARAWAYVALVE_TESTS_SOAK_SPOILER_H_
#define CARAWAYVALVE_TESTS_SOAK_SPOILER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::tests {

// An answer that goes on for as long as its connection is open.
struct EndlessBytes {
  std::string name;
  // Sent once; "{id}" stands for the id of the request.
  std::string begin;
  // Sent again and again, until `max_bytes` unless that is 0.
  std::string repeated;
  size_t max_bytes = 0;
  // Sent after `max_bytes`.
  std::string end;
  // The time between two repetitions.
  base::Milliseconds interval{0};
};

// The kinds of answers that backend servers and the store spoil.
const std::vector<EndlessBytes>& EndlessWorkerAnswers();
const std::vector<EndlessBytes>& EndlessStoreAnswers();

// A TCP relay on loopback before a server, in threads of its own. While it
// spoils answers, it doesn't pass requests on but answers them itself, at full
// speed unless
// they have an interval.
class Spoiler {
 public:
  explicit Spoiler(uint16_t target_port);
  ~Spoiler();
  Spoiler(const Spoiler&) = delete;
  Spoiler& operator=(const Spoiler&) = delete;

  uint16_t port() const;
  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->port());
  }

  // Spoils the answers to requests that arrive from now on.
  void Begin(const EndlessBytes& bytes);
  // Passes requests on again, and breaks the spoilt answers off.
  void End();
  // Returns the number of requests that weren't passed on, and the bytes sent
  // in answer to them.
  int64_t spoilt_requests() const;
  int64_t spoilt_bytes() const;

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_SOAK_SPOILER_H_
