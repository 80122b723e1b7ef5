#ifndef CARAWAYVALVE_ENTRY_SRC_ENTRY_METRICS_H_
#define CARAWAYVALVE_ENTRY_SRC_ENTRY_METRICS_H_

#include <functional>
#include <memory>
#include <string>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/request_flow.h"

namespace carawayvalve::entry {

// What an entry process counts, for Prometheus. Labels are services, statuses
// and outcomes; never accounts or requests, of which there are too many.
class EntryMetrics {
 public:
  EntryMetrics();
  ~EntryMetrics();

  // Counts a request that was refused before it was admitted.
  void CountRefusal(int status);
  // Returns what is to be called with the end of a request that begins now.
  std::function<void(const core::FinishRequest&)> TrackRequest(
      const base::ServiceId& service);
  // Counts the sending of a usage report: "taken", "refused" or "lost".
  void CountUsageReport(const char* outcome);
  void SetGauges(int64_t in_flight,
                 int64_t configuration_generation,
                 int64_t backend_servers_ready);
  // The text that Prometheus reads.
  std::string Print() const;

 private:
  struct Metrics;

  std::unique_ptr<Metrics> metrics;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_ENTRY_METRICS_H_
