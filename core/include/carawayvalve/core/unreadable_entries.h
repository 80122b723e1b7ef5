#ifndef CARAWAYVALVE_CORE_UNREADABLE_ENTRIES_H_
#define CARAWAYVALVE_CORE_UNREADABLE_ENTRIES_H_

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace carawayvalve::core {

// The entries of the store that can't be read and were reported, so that each
// is reported once while it stands, however often it is read or written. Beyond
// `max_entries` the oldest are forgotten. Names are kept as hashes: another
// writer's may have a megabyte.
class UnreadableEntries {
 public:
  explicit UnreadableEntries(size_t max_entries = 4096)
      : max_entries(max_entries) {}

  // Records an entry of a kind. Returns whether it is to be reported.
  bool Note(const std::string& kind, std::string_view name);
  // Records that the entry is gone or can be read.
  void Forget(const std::string& kind, std::string_view name);

 private:
  using Key = std::pair<std::string, size_t>;

  size_t max_entries;
  std::set<Key> reported;
  // In the order of the reports.
  std::deque<Key> order;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_UNREADABLE_ENTRIES_H_
