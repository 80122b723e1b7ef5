#ifndef CARAWAYVALVE_GATEWAY_SRC_GATEWAY_METRICS_H_
#define CARAWAYVALVE_GATEWAY_SRC_GATEWAY_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>

#include "carawayvalve/base/time.h"

namespace carawayvalve::gateway {

// What a gateway counts, for Prometheus. Labels are routes, statuses and
// outcomes; never accounts or requests, of which there are too many.
class GatewayMetrics {
 public:
  GatewayMetrics();
  ~GatewayMetrics();

  // A final answer of any kind; status 0 for one that was broken off.
  void CountAnswer(const std::string& route, int status);
  // From the request to the first event or the whole answer.
  void ObserveFirstAnswer(const std::string& route, base::Duration time);
  // What this process added to the backend server's own time.
  void ObserveOverhead(base::Duration time);
  void CountAttempt(const std::string& outcome);
  // A retry that was charged to the budget, or denied for want of one.
  void CountRetry(const std::string& outcome);
  void CountStoreCall(const std::string& outcome);
  // The age of a belief when it was used.
  void ObserveStateAge(const std::string& source, base::Duration age);
  void SetGauge(const std::string& name, double value);

  // The text that Prometheus reads.
  std::string Print() const;

 private:
  struct Families;

  std::unique_ptr<Families> families;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_GATEWAY_METRICS_H_
