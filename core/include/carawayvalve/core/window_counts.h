#ifndef CARAWAYVALVE_CORE_WINDOW_COUNTS_H_
#define CARAWAYVALVE_CORE_WINDOW_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::core {

using AccountCounts = std::map<base::ClientAccountId, int64_t>;

// Returns the sum over all accounts.
int64_t TotalOf(const AccountCounts& counts);

// The requests that one process counted in one window.
struct WindowCountsPart {
  int64_t window = 0;
  // The run of the process.
  base::BootId source;
  AccountCounts counts;

  bool operator==(const WindowCountsPart&) const = default;
};

// The requests that started in each window, by client account, as counted by
// this process and its peers. Counts only grow and are merged as maxima, so
// copies may arrive late, twice or through other peers, and a process's counts
// outlive it wherever a copy exists.
class WindowCounts {
 public:
  // Counts a request that `source` started.
  void Count(const base::BootId& source,
             int64_t window,
             const base::ClientAccountId& account);
  void Merge(const WindowCountsPart& part);

  // Returns the sums over all sources; empty for a window without requests.
  AccountCounts Sum(int64_t window) const;
  // Returns the number of requests that `source` counted.
  int64_t CountOf(const base::BootId& source, int64_t window) const;
  // Returns the parts of windows from `first` on.
  std::vector<WindowCountsPart> Parts(int64_t first) const;
  // Drops the windows before `first`.
  void ForgetBefore(int64_t first);

 private:
  std::map<int64_t, std::map<base::BootId, AccountCounts>> windows;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_WINDOW_COUNTS_H_
