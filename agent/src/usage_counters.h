#ifndef CARAWAYVALVE_AGENT_SRC_USAGE_COUNTERS_H_
#define CARAWAYVALVE_AGENT_SRC_USAGE_COUNTERS_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/usage_ledger.h"

namespace carawayvalve::agent {

// What this run of the agent has to bill, until collectors have it. Safe to
// call from several threads.
//
// A collector reads from the highest window that this run of the agent has
// named to it, or from 0 before that. So it holds the counters of all earlier
// windows, which stand still: a reading from the present window on shows that
// they were told. Counters of the present window can't be shown to be told
// before a later window has begun, as the answer may have been lost. It is
// enough that one collector has them.
class UsageCounters {
 public:
  void Count(const base::ClientAccountId& client_account,
             const core::UsageFigures& figures);

  // Returns the counters of the windows from `since_window` on, and begins
  // `open_window` before that, if it is above the present one.
  std::vector<core::UsageCounter> Collect(int64_t since_window,
                                          int64_t open_window);

  // To be called when nothing more will be counted. From here on the present
  // window is over at this agent, so that two readings show it to be told.
  void Close();
  // Waits until all has been told; returns whether it has.
  bool WaitUntilCollected(base::Milliseconds wait);

  struct State {
    int64_t window = 0;
    // Attempts counted that aren't known to be told.
    int64_t uncollected = 0;
    // Of all client accounts and windows.
    core::UsageFigures totals;
  };
  State state() const;

 private:
  // These expect the lock to be held.
  void NoteCollected(int64_t since_window);
  void BeginWindow(int64_t window);
  void EndWindowIfClosed();

  mutable std::mutex mutex;
  std::condition_variable collected;
  core::AgentUsageLedger ledger;
  core::UsageFigures totals;
  base::ClientAccountId last_counted_account;
  int64_t uncollected_before_window = 0;
  int64_t uncollected_in_window = 0;
  // An answer that reaches back behind the present window has named it.
  bool window_announced = false;
  bool closed = false;
};

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_USAGE_COUNTERS_H_
