#include "carawayvalve/core/unreadable_entries.h"

#include <algorithm>
#include <functional>

namespace carawayvalve::core {

namespace {

size_t HashOf(std::string_view name) {
  return std::hash<std::string_view>()(name);
}

}  // namespace

bool UnreadableEntries::Note(const std::string& kind, std::string_view name) {
  const auto [at, is_new] = this->reported.insert({kind, HashOf(name)});
  if (!is_new) {
    return false;
  }
  this->order.push_back(*at);
  if (this->order.size() > this->max_entries) {
    this->reported.erase(this->order.front());
    this->order.pop_front();
  }
  return true;
}

void UnreadableEntries::Forget(const std::string& kind, std::string_view name) {
  if (this->reported.empty()) {
    return;
  }
  const Key key{kind, HashOf(name)};
  if (this->reported.erase(key) > 0) {
    this->order.erase(std::find(this->order.begin(), this->order.end(), key));
  }
}

}  // namespace carawayvalve::core
