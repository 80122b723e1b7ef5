#ifndef CARAWAYVALVE_CORE_USAGE_LEDGER_H_
#define CARAWAYVALVE_CORE_USAGE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::core {

// The billed quantities of a set of requests.
struct UsageFigures {
  int64_t requests = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;

  bool operator==(const UsageFigures&) const = default;
};

UsageFigures operator+(const UsageFigures& left, const UsageFigures& right);
UsageFigures operator-(const UsageFigures& left, const UsageFigures& right);
// Returns the maximum of each figure.
UsageFigures MaxOf(const UsageFigures& left, const UsageFigures& right);

using AccountUsage = std::map<base::ClientAccountId, UsageFigures>;
// The counters of one window, by the agent run that counted them.
using WindowUsage = std::map<base::BootId, AccountUsage>;

// Sums the counters of all agents.
AccountUsage TotalsOf(const WindowUsage& counters);

// Raises each counter in `into` to the one in `from`. Merging is idempotent,
// commutative and associative, as counters only grow. Returns whether any
// counter was raised.
bool MergeUsage(WindowUsage& into, const WindowUsage& from);
bool MergeUsage(AccountUsage& into, const AccountUsage& from);

// The usage that one agent counted for a client account in a window.
struct UsageCounter {
  base::ClientAccountId client_account;
  int64_t window = 0;
  UsageFigures figures;

  bool operator==(const UsageCounter&) const = default;
};

// The counters of one run of an agent. Counters only grow, and a window's
// counters are final once a later window has begun in this agent.
class AgentUsageLedger {
 public:
  // Keeps the counters of the newest `kept_windows` windows; older ones are
  // dropped once they have been collected.
  explicit AgentUsageLedger(size_t kept_windows = 32);

  // Adds to the current window. Usage counted before the first window begins is
  // added to the first window.
  void Count(const base::ClientAccountId& client_account,
             const UsageFigures& figures);

  // Begins a window. Does nothing unless its number is above the current one.
  void BeginWindow(int64_t window);

  // Returns the counters of the windows from `first_window` on. Adds a zero
  // counter without a client account for the current window, from which the
  // reader learns that the counters of earlier windows are final.
  std::vector<UsageCounter> CountersSince(int64_t first_window) const;

  // Records that the counters from `first_window` on have been collected.
  void MarkCollected(int64_t first_window);
  bool AllCollected() const { return !this->uncollected_from.has_value(); }

  // Returns the current window, 0 before the first has begun.
  int64_t window() const { return this->current_window; }

 private:
  void DropOldWindows();

  size_t kept_windows;
  int64_t current_window = 0;
  // Key 0 holds usage counted before the first window begins.
  std::map<int64_t, AccountUsage> windows;
  // The earliest window with a counter that hasn't been collected.
  std::optional<int64_t> uncollected_from;
};

// The counters that one process has collected from agents and other collectors;
// keeps the highest value of each.
class UsageCollection {
 public:
  // Returns whether the counter is new or has grown. Ignores zero counters.
  bool Merge(const base::BootId& agent, const UsageCounter& counter);
  void Merge(const UsageCollection& other);

  // Returns the window's counters, empty when none were collected.
  const WindowUsage& UsageOf(int64_t window) const;
  // Returns a number that rises with each change of the window's counters.
  int64_t RevisionOf(int64_t window) const;
  std::vector<int64_t> Windows() const;
  size_t CounterCount(int64_t window) const;

  // Drops the oldest windows until at most `max_counters` counters are left.
  // The newest window is always kept.
  void DropOldest(size_t max_counters);
  size_t size() const { return this->counters; }

  // Compares the counters only.
  bool operator==(const UsageCollection& other) const;

 private:
  struct Window {
    WindowUsage usage;
    size_t counters = 0;
    int64_t revision = 0;
  };

  std::map<int64_t, Window> windows;
  size_t counters = 0;
  int64_t last_revision = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_USAGE_LEDGER_H_
