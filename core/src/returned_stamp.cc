#include "carawayvalve/core/returned_stamp.h"

namespace carawayvalve::core {

std::optional<base::Instant> SentAt(const ReturnedStamp& returned,
                                    const ProcessRun& self,
                                    base::Instant now) {
  const bool is_own = !returned.boot.empty() && returned.boot == self.boot &&
                      self.started <= returned.stamp && returned.stamp <= now;
  return is_own ? std::optional(returned.stamp) : std::nullopt;
}

}  // namespace carawayvalve::core
