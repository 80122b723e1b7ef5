#include "carawayvalve/core/usage_changes.h"

namespace carawayvalve::core {

std::vector<WindowCountsPart> UsageChanges::Update(
    const std::vector<WindowCountsPart>& parts,
    base::Instant now) {
  std::map<Key, Told> current;
  std::vector<WindowCountsPart> changed;
  for (const WindowCountsPart& part : parts) {
    WindowCountsPart recent{part.window, part.source, {}};
    for (const auto& [account, count] : part.counts) {
      const Key key = {part.window, account};
      const auto before = this->told.find(key);
      Told told = before == this->told.end() ? Told{} : before->second;
      if (told.count != count) {
        told = {count, now};
      }
      if (now - told.changed_at < this->repeat_time) {
        recent.counts[account] = count;
      }
      current[key] = told;
    }
    if (!recent.counts.empty()) {
      changed.push_back(std::move(recent));
    }
  }
  this->told = std::move(current);
  return changed;
}

}  // namespace carawayvalve::core
