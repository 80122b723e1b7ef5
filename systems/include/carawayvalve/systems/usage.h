#ifndef CARAWAYVALVE_SYSTEMS_USAGE_H_
#define CARAWAYVALVE_SYSTEMS_USAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

// The usage of one client account.
struct UsageLine {
  base::ClientAccountId client_account;
  int64_t requests = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  // The earlier window that the figures correct; not set for usage of the
  // report's own window.
  std::optional<int64_t> correction_of;

  auto operator<=>(const UsageLine&) const = default;
};

// The billed usage of one region in one window.
struct UsageReport {
  std::string report_id;
  base::RegionId region;
  int64_t window = 0;
  std::string holder;
  int64_t epoch = 0;
  std::vector<UsageLine> lines;

  bool operator==(const UsageReport&) const = default;
};

// Adapter to the platform's usage interface.
class UsageInterface {
 public:
  explicit UsageInterface(std::string address);

  // Sends `report`. Returns false when the interface already holds different
  // figures under the report's id. Throws base::UnknownOutcomeError when no
  // answer arrives within `timeout`; resending the same report is safe.
  bool Send(const UsageReport& report, base::Milliseconds timeout) const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_USAGE_H_
