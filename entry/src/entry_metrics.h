#ifndef CARAWAYVALVE_ENTRY_SRC_ENTRY_METRICS_H_
#define CARAWAYVALVE_ENTRY_SRC_ENTRY_METRICS_H_

#include <functional>
#include <memory>
#include <string>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/request_flow.h"

namespace carawayvalve::entry {

// Prometheus metrics of an entry process. Labels are services, statuses and
// outcomes, but never accounts or requests, whose cardinality is too high.
class EntryMetrics {
 public:
  EntryMetrics();
  ~EntryMetrics();

  // Counts a request that was refused before it was admitted.
  void CountRefusal(int status);
  // Counts a request beyond its account's rate limit; `reason` is "exceeded" or
  // "too_large".
  void CountAccountRefusal(const char* reason);
  // Starts timing a request; the returned function must be called with its
  // result and records its outcome and duration.
  std::function<void(const core::FinishRequest&)> TrackRequest(
      const base::ServiceId& service);
  // Counts an attempt to send a usage report; `outcome` is "taken", "refused"
  // or "lost".
  void CountUsageReport(const char* outcome);
  void SetGauges(int64_t in_flight,
                 int64_t configuration_generation,
                 int64_t backend_servers_ready);
  // Returns the metrics in the Prometheus text format.
  std::string Print() const;

 private:
  struct Metrics;

  std::unique_ptr<Metrics> metrics;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_ENTRY_METRICS_H_
