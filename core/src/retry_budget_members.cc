#include "carawayvalve/core/retry_budget_members.h"

namespace carawayvalve::core {

void RetryBudgetMembers::NoteRegistered(bool existed_before, base::Instant now) {
  if (!this->part_from.has_value()) {
    const base::Instant known_by_others =
        existed_before ? this->started : now + this->settings.list_interval;
    this->part_from = known_by_others + this->settings.window;
  }
}

void RetryBudgetMembers::NoteListed(const std::set<base::HostId>& listed) {
  this->hosts.insert(listed.begin(), listed.end());
  this->listed_all = this->part_from.has_value();
}

std::optional<int64_t> RetryBudgetMembers::SlackDivisor(base::Instant now) const {
  if (!this->listed_all || now < *this->part_from) {
    return std::nullopt;
  }
  return this->Count();
}

}  // namespace carawayvalve::core
