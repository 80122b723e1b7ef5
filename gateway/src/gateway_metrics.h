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
  // Counts an answer that its caller didn't receive completely, by
  // net::DeliveryEnd.
  void CountUndeliveredAnswer(const std::string& end);
  // Counts an answer that isn't the one to the request on its connection, by
  // the kind of that request.
  void CountSkippedAnswer(const std::string& kind);
  // Counts a choice of a backend server: the one of the "lowest" estimated
  // cost, or an "equal" one in view of the age of the load that peers report.
  void CountPlacement(bool passed_over_lowest);
  // Counts a request to a backend server of any kind, such as "attempt".
  void CountBackendRequest(const std::string& kind);
  // Counts a retry that was "charged" to the retry budget, or "denied".
  void CountRetry(const std::string& outcome);
  // Counts a request beyond its account's rate limit: "exceeded", or
  // "too_large" for ever.
  void CountAccountRefusal(const std::string& reason);
  void CountStoreCall(const std::string& outcome);
  // Counts an object of a kind of the store that can't be read: its "value", as
  // received from the store, or an "entry" of a backend server from anywhere.
  void CountUnreadable(const std::string& kind, const std::string& what);
  // Counts a request for changes of backend servers that was sent to a peer,
  // which "answered" or "failed" to.
  void CountRegistryFetch(const std::string& outcome);
  // Counts a request for the configuration, or for its changes, that was sent
  // to a peer, which "answered" or "failed" to, or has "no_changes" since a
  // version.
  void CountPlanFetch(const std::string& outcome);
  // Sets the number of calls to the platform so far that were made for the same
  // purpose, such as the watch of a kind of objects, and ended the same way.
  void SetPlatformCalls(const std::string& call,
                        const std::string& outcome,
                        int64_t count);
  // Counts a stream that a caller takes up, which "goes_on" or is "refused".
  // The same by "goes_on_stored" if only the store tells its origin.
  void CountStreamTakenUp(const std::string& outcome);
  // Counts calls for what outlives the loss of all gateways, such as "stored".
  void CountRecentState(const std::string& outcome);
  // Counts calls for what is known of crashes, such as "stored".
  void CountCrashState(const std::string& outcome);
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
