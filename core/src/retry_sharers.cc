#include "carawayvalve/core/retry_sharers.h"

namespace carawayvalve::core {

void RetrySharers::NoteRegistered(bool known_before, base::Instant now) {
  if (!this->part_from.has_value()) {
    const base::Instant known_by_others =
        known_before ? this->started : now + this->settings.list_interval;
    this->part_from = known_by_others + this->settings.window;
  }
}

void RetrySharers::NoteListed(const std::set<base::HostId>& listed) {
  this->hosts.insert(listed.begin(), listed.end());
  this->listed_all = this->part_from.has_value();
}

std::optional<int64_t> RetrySharers::Parts(base::Instant now) const {
  if (!this->listed_all || now < *this->part_from) {
    return std::nullopt;
  }
  return this->known();
}

}  // namespace carawayvalve::core
