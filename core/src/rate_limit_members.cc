#include "carawayvalve/core/rate_limit_members.h"

#include <algorithm>

namespace carawayvalve::core {

void RateLimitMembers::NoteListed(const ListedProcesses& listed,
                                  base::Instant now) {
  for (const base::HostId& host : listed.named) {
    if (host != this->self) {
      this->members[host] = now;
    }
  }
  std::erase_if(this->members, [&](const auto& member) {
    return now - member.second >= this->settings.keep_time;
  });
  this->others = listed.staying;
  this->others.erase(this->self);
  if (!listed.staying.contains(this->self)) {
    // Others may forget this process from now on.
    this->listed_since.reset();
    this->counted_by.clear();
  } else if (!this->listed_since.has_value()) {
    this->listed_since = now;
  }
}

void RateLimitMembers::NoteSeen(const base::HostId& host, base::Instant now) {
  if (host != this->self) {
    this->members[host] = now;
  }
}

void RateLimitMembers::NoteCountedBy(const base::HostId& host) {
  if (this->listed_since.has_value()) {
    this->counted_by.insert(host);
  }
}

std::optional<int64_t> RateLimitMembers::Divisor(base::Instant now) const {
  if (!this->listed_since.has_value()) {
    return std::nullopt;
  }
  const bool counted = std::all_of(
      this->members.begin(), this->members.end(), [this](const auto& member) {
        return this->counted_by.contains(member.first);
      });
  if (!counted && now - *this->listed_since < this->settings.list_time) {
    return std::nullopt;
  }
  return static_cast<int64_t>(this->members.size()) + 1;
}

std::vector<base::HostId> RateLimitMembers::Uncounted() const {
  std::vector<base::HostId> uncounted;
  if (this->listed_since.has_value()) {
    std::set_difference(this->others.begin(), this->others.end(),
                        this->counted_by.begin(), this->counted_by.end(),
                        std::back_inserter(uncounted));
  }
  return uncounted;
}

}  // namespace carawayvalve::core
