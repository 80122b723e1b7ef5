#include "carawayvalve/core/retry_sharers.h"

namespace carawayvalve::core {

void RetrySharers::NoteListed(const std::set<base::HostId>& listed) {
  this->hosts.insert(listed.begin(), listed.end());
  this->listed_all = this->registered;
}

std::optional<int64_t> RetrySharers::Parts() const {
  if (!this->listed_all) {
    return std::nullopt;
  }
  return this->known();
}

}  // namespace carawayvalve::core
