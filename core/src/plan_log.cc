#include "carawayvalve/core/plan_log.h"

#include <algorithm>

namespace carawayvalve::core {

void PlanLog::Append(const PlanChange& change) {
  if (!this->changes.empty() && this->changes.back().to != change.from) {
    this->changes.clear();
    this->byte_count = 0;
  }
  this->changes.push_back(change);
  this->byte_count += change.difference.size();
  while (this->byte_count > this->max_bytes) {
    this->byte_count -= this->changes.front().difference.size();
    this->changes.pop_front();
  }
}

std::optional<std::vector<PlanChange>> PlanLog::Since(int64_t version) const {
  const auto first = std::find_if(
      this->changes.begin(), this->changes.end(),
      [&](const PlanChange& change) { return change.from == version; });
  return first == this->changes.end() ? std::nullopt
                                      : std::optional(std::vector<PlanChange>(
                                            first, this->changes.end()));
}

}  // namespace carawayvalve::core
