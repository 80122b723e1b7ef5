#include "carawayvalve/core/window_counts.h"

#include <algorithm>
#include <numeric>

namespace carawayvalve::core {

int64_t TotalOf(const AccountCounts& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), int64_t{0},
      [](int64_t sum, const auto& item) { return sum + item.second; });
}

int64_t WindowCounts::CountOf(const base::BootId& source,
                              int64_t window) const {
  const auto found = this->windows.find(window);
  if (found == this->windows.end()) {
    return 0;
  }
  const auto part = found->second.find(source);
  return part == found->second.end() ? 0 : TotalOf(part->second);
}

void WindowCounts::Count(const base::BootId& source,
                         int64_t window,
                         const base::ClientAccountId& account) {
  ++this->windows[window][source][account];
}

void WindowCounts::Merge(const WindowCountsPart& part) {
  AccountCounts& known = this->windows[part.window][part.source];
  for (const auto& [account, count] : part.counts) {
    int64_t& highest = known[account];
    highest = std::max(highest, count);
  }
}

AccountCounts WindowCounts::Sum(int64_t window) const {
  AccountCounts sum;
  const auto found = this->windows.find(window);
  if (found == this->windows.end()) {
    return sum;
  }
  for (const auto& [source, counts] : found->second) {
    for (const auto& [account, count] : counts) {
      sum[account] += count;
    }
  }
  return sum;
}

std::vector<WindowCountsPart> WindowCounts::Parts(int64_t first) const {
  std::vector<WindowCountsPart> parts;
  for (auto it = this->windows.lower_bound(first); it != this->windows.end();
       ++it) {
    for (const auto& [source, counts] : it->second) {
      parts.push_back({it->first, source, counts});
    }
  }
  return parts;
}

void WindowCounts::ForgetBefore(int64_t first) {
  this->windows.erase(this->windows.begin(), this->windows.lower_bound(first));
}

}  // namespace carawayvalve::core
