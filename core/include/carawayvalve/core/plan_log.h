#ifndef CARAWAYVALVE_CORE_PLAN_LOG_H_
#define CARAWAYVALVE_CORE_PLAN_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace carawayvalve::core {

// What turns one version of the configuration into a later one.
struct PlanChange {
  int64_t from = 0;
  int64_t to = 0;
  std::string difference;

  bool operator==(const PlanChange&) const = default;
};

// The latest changes of the configuration, for peers that have an earlier
// version: they needn't be sent all of it.
class PlanLog {
 public:
  // Holds changes of at most `max_bytes`.
  explicit PlanLog(size_t max_bytes = size_t{512} * 1024)
      : max_bytes(max_bytes) {}

  // Adds a change from the version at the end of the log. One from another
  // version starts the log anew.
  void Append(const PlanChange& change);

  // Returns the changes from a version to the last one, in order; nothing if
  // the log doesn't have them or there are none.
  std::optional<std::vector<PlanChange>> Since(int64_t version) const;

 private:
  size_t max_bytes;
  std::deque<PlanChange> changes;
  size_t byte_count = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_PLAN_LOG_H_
