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

// The usage counters of this run of the agent, and whether collectors have read
// them. Safe to call from several threads.
//
// A collector requests the counters from the highest window that this run of
// the agent has announced to it, or from 0 before that. It then holds the
// counters of all earlier windows, which are final: a request from the current
// window on confirms that they were collected. Counters of the current window
// can't be confirmed until a later window has begun, as the answer may have
// been lost. Usage counts as collected once one collector has it.
class UsageCounters {
 public:
  // Adds the usage of one attempt to the current window.
  void Count(const base::ClientAccountId& client_account,
             const core::UsageFigures& figures);

  // Begins `open_window` if it is above the current one, then returns the
  // counters of the windows from `since_window` on.
  std::vector<core::UsageCounter> Collect(int64_t since_window,
                                          int64_t open_window);

  // To be called when no more usage will be counted. Ends the current window at
  // this agent, so that two further collections confirm it.
  void Close();
  // Waits until all usage has been collected. Returns whether it has.
  bool WaitUntilCollected(base::Milliseconds wait);

  struct State {
    int64_t window = 0;
    // Number of counted attempts whose usage isn't known to be collected.
    int64_t uncollected = 0;
    // Sum over all client accounts and windows.
    core::UsageFigures totals;
  };
  State state() const;

 private:
  // These require the lock to be held.
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
  // An answer to a request from an earlier window on has announced the current
  // one.
  bool window_announced = false;
  bool closed = false;
};

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_USAGE_COUNTERS_H_
