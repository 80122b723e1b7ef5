#ifndef CARAWAYVALVE_TESTS_SOAK_SPOILER_H_
#define CARAWAYVALVE_TESTS_SOAK_SPOILER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
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
  // If set, each request gets one complete answer with such a body instead. The
  // numbers rise from 0.
  std::function<std::string(int64_t number)> page = nullptr;
};

// The kinds of answers that backend servers, the store and the platform's usage
// interface spoil.
const std::vector<EndlessBytes>& EndlessWorkerAnswers();
const std::vector<EndlessBytes>& EndlessStoreAnswers();
const std::vector<EndlessBytes>& EndlessUsageAnswers();
// What callers send without end. They read no answers.
const std::vector<EndlessBytes>& EndlessRequests();

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

// Sends without end to a port on loopback, in a thread of its own, and connects
// again whenever the connection is closed.
class EndlessCaller {
 public:
  EndlessCaller(uint16_t target_port, const EndlessBytes& bytes);
  ~EndlessCaller();
  EndlessCaller(const EndlessCaller&) = delete;
  EndlessCaller& operator=(const EndlessCaller&) = delete;

 private:
  void Send() const;

  uint16_t target;
  EndlessBytes bytes;
  std::atomic<bool> stopping = false;
  std::thread sending;
};

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_SOAK_SPOILER_H_
