#ifndef CARAWAYVALVE_SYSTEMS_USAGE_H_
#define CARAWAYVALVE_SYSTEMS_USAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

struct UsageLine {
  base::ClientAccountId client_account;
  int64_t requests = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;
  // The earlier window that the figures belong to; none for usage of the
  // report's own window.
  std::optional<int64_t> correction_of;

  auto operator<=>(const UsageLine&) const = default;
};

// The figures of one region and window, as billed.
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

  // Returns false when the interface already has other figures under this
  // id. Throws base::UnknownOutcomeError when the answer stayed away; sending
  // the same report again is safe.
  bool Send(const UsageReport& report, base::Milliseconds timeout) const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_USAGE_H_
