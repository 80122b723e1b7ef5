#ifndef CARAWAYVALVE_CORE_WINDOW_COUNTS_H_
#define CARAWAYVALVE_CORE_WINDOW_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::core {

using AccountCounts = std::map<base::ClientAccountId, int64_t>;

// What one process counted in one window of time.
struct WindowCountsPart {
  int64_t window = 0;
  // Names one run of a process.
  base::BootId source;
  AccountCounts counts;

  bool operator==(const WindowCountsPart&) const = default;
};

// The requests that began to run in each window, by client account, as counted
// by this process and by others. A process's counts only grow and are merged
// as maxima, so copies may come late, twice, or through others; what a process
// counted survives it wherever a copy is.
class WindowCounts {
 public:
  // Counts a request at the source.
  void Count(const base::BootId& source,
             int64_t window,
             const base::ClientAccountId& account);
  void Merge(const WindowCountsPart& part);

  // Returns the sums over all sources; empty for a window without requests.
  AccountCounts Sum(int64_t window) const;
  // Returns the parts of windows from `first` on.
  std::vector<WindowCountsPart> Parts(int64_t first) const;
  // Forgets windows before `first`.
  void ForgetBefore(int64_t first);

 private:
  std::map<int64_t, std::map<base::BootId, AccountCounts>> windows;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_WINDOW_COUNTS_H_
