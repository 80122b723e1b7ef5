#ifndef CARAWAYVALVE_CORE_USAGE_LEDGER_H_
#define CARAWAYVALVE_CORE_USAGE_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "carawayvalve/base/ids.h"

namespace carawayvalve::core {

// What is billed, or a part of it.
struct UsageFigures {
  int64_t requests = 0;
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;

  bool operator==(const UsageFigures&) const = default;
};

UsageFigures operator+(const UsageFigures& left, const UsageFigures& right);
UsageFigures operator-(const UsageFigures& left, const UsageFigures& right);
// The higher value of each figure.
UsageFigures MaxOf(const UsageFigures& left, const UsageFigures& right);

using AccountUsage = std::map<base::ClientAccountId, UsageFigures>;
// The counters of one window, by the run of the agent that keeps them.
using WindowUsage = std::map<base::BootId, AccountUsage>;

// Sums up the counters of all agents.
AccountUsage TotalsOf(const WindowUsage& counters);

// Raises `into` to the counters in `from`: idempotent, commutative and
// associative, as counters only grow. Returns whether any was raised.
bool MergeUsage(WindowUsage& into, const WindowUsage& from);
bool MergeUsage(AccountUsage& into, const AccountUsage& from);

// One counter of one agent.
struct UsageCounter {
  base::ClientAccountId client_account;
  int64_t window = 0;
  UsageFigures figures;

  bool operator==(const UsageCounter&) const = default;
};

// The counters of one run of an agent. They only grow, and those of a window
// stand still once a later window has begun here.
class AgentUsageLedger {
 public:
  // A window that has been told is forgotten when so many later ones have
  // counters.
  explicit AgentUsageLedger(size_t kept_windows = 32);

  // Counts into the window that has begun last. What is counted before the
  // first has begun belongs to the first.
  void Count(const base::ClientAccountId& client_account,
             const UsageFigures& figures);

  // Begins a window. Numbers that aren't above the present one do nothing.
  void BeginWindow(int64_t window);

  // Returns the counters of the windows from `first_window` on. Once a window
  // has begun, there is always one of zeros for it and no client account, so
  // that the reader learns its number: what is before it will not change.
  std::vector<UsageCounter> CountersSince(int64_t first_window) const;

  // Notes that the counters from `first_window` on have been told.
  void MarkCollected(int64_t first_window);
  bool AllCollected() const { return !this->uncollected_from.has_value(); }

  // 0 before the first window has begun.
  int64_t window() const { return this->current_window; }

 private:
  void DropOldWindows();

  size_t kept_windows;
  int64_t current_window = 0;
  // The counters under 0 wait for the first window.
  std::map<int64_t, AccountUsage> windows;
  // The earliest window with a counter that was never told.
  std::optional<int64_t> uncollected_from;
};

// What one process has collected from agents and other collectors, as the
// highest value seen of each counter.
class UsageCollection {
 public:
  // Returns whether the counter is new or has grown.
  bool Merge(const base::BootId& agent, const UsageCounter& counter);
  void Merge(const UsageCollection& other);

  // Returns an empty one when nothing was collected of it.
  const WindowUsage& UsageOf(int64_t window) const;
  // Rises when a counter of the window does.
  int64_t RevisionOf(int64_t window) const;
  std::vector<int64_t> Windows() const;
  size_t CounterCount(int64_t window) const;

  // Forgets the oldest windows until at most `max_counters` are left. The
  // newest one is always kept.
  void DropOldest(size_t max_counters);
  size_t size() const { return this->counters; }

  // Whether both hold the same counters.
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
