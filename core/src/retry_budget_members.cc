#include "carawayvalve/core/retry_budget_members.h"

#include <algorithm>

namespace carawayvalve::core {

void RetryBudgetMembers::NoteRegistered(bool existed_before,
                                        base::Instant now) {
  if (!this->slack_from.has_value()) {
    const base::Instant known_by_others =
        existed_before ? this->started : now + this->settings.list_interval;
    this->listed_by_all =
        (existed_before ? this->started : now) + this->settings.list_interval;
    this->slack_from = known_by_others + this->settings.window;
  }
}

void RetryBudgetMembers::NoteListed(const std::set<base::HostId>& listed) {
  this->members.insert(listed.begin(), listed.end());
  this->listed_all = this->slack_from.has_value();
}

std::optional<int64_t> RetryBudgetMembers::SlackDivisor(
    base::Instant now) const {
  if (!this->listed_all || now < *this->slack_from) {
    return std::nullopt;
  }
  return this->Count();
}

std::optional<int64_t> RetryBudgetMembers::RateDivisor(
    base::Instant now) const {
  if (!this->listed_all) {
    return std::nullopt;
  }
  // All but this process itself.
  const bool counted = std::count_if(this->members.begin(), this->members.end(),
                                     [this](const base::HostId& host) {
                                       return this->counted_by.contains(host);
                                     }) +
                           1 >=
                       this->Count();
  if (!counted && now < *this->listed_by_all) {
    return std::nullopt;
  }
  return this->Count();
}

}  // namespace carawayvalve::core
