#ifndef CARAWAYVALVE_CORE_USAGE_CHANGES_H_
#define CARAWAYVALVE_CORE_USAGE_CHANGES_H_

#include <map>
#include <utility>
#include <vector>

#include "carawayvalve/base/time.h"
#include "carawayvalve/core/window_counts.h"

namespace carawayvalve::core {

// Selects which counts of a process are told to the one that reports them: a
// count is told several times after each change, as messages are lost, and not
// again until the next change.
class UsageChanges {
 public:
  // A count is told until `repeat_time` after its last change.
  explicit UsageChanges(base::Duration repeat_time)
      : repeat_time(repeat_time) {}

  // Takes all counts of the process in the windows that aren't sealed yet.
  // Returns those to be told now.
  std::vector<WindowCountsPart> Update(
      const std::vector<WindowCountsPart>& parts,
      base::Instant now);

 private:
  struct Told {
    int64_t count = 0;
    base::Instant changed_at;
  };
  using Key = std::pair<int64_t, base::ClientAccountId>;

  base::Duration repeat_time;
  std::map<Key, Told> told;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_USAGE_CHANGES_H_
