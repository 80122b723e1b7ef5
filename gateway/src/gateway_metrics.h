#ifndef CARAWAYVALVE_GATEWAY_SRC_GATEWAY_METRICS_H_
#define CARAWAYVALVE_GATEWAY_SRC_GATEWAY_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "carawayvalve/base/time.h"

namespace carawayvalve::gateway {

// Prometheus metrics of a gateway. Labels are routes, statuses and outcomes,
// but never accounts or requests, of which there are too many.
class GatewayMetrics {
 public:
  GatewayMetrics();
  ~GatewayMetrics();

  // Counts a final answer of any kind; status 0 is one that was broken off.
  void CountAnswer(const std::string& route, int status);
  // Observes the time from the request to the first event or, for a request
  // that isn't streamed, the complete answer.
  void ObserveFirstAnswer(const std::string& route, base::Duration time);
  // Observes the time that this process adds to a backend server's answer.
  void ObserveOverhead(base::Duration time);
  void CountAttempt(const std::string& outcome);
  // Counts an answer whose head was received, by how the end of its body is
  // marked and by whether the body was "complete" or "broken".
  void CountBackendAnswer(const std::string& framing, const std::string& end);
  // Counts a request to a backend server of any kind, such as "attempt".
  void CountBackendRequest(const std::string& kind);
  // Counts a retry that was "charged" to the retry budget, or "denied".
  void CountRetry(const std::string& outcome);
  // Counts a request that is "sent" to an engine, "waits" for room or is
  // "refused", by its route and by its client account.
  void CountRoom(const std::string& route, const std::string& outcome);
  void CountRoomOfAccount(const std::string& account,
                          const std::string& outcome);
  void CountStoreCall(const std::string& outcome);
  // Counts a stream that a caller takes up, which "goes_on" or is "refused".
  void CountStreamTakenUp(const std::string& outcome);
  // Observes the age of state from `source`, such as the configuration, when a
  // decision uses it.
  void ObserveStateAge(const std::string& source, base::Duration age);
  void SetGauge(const std::string& name, double value);

  // Returns all metrics in the Prometheus text format.
  std::string Print() const;

 private:
  struct Families;

  std::unique_ptr<Families> families;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_GATEWAY_METRICS_H_
