#include "carawayvalve/core/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace carawayvalve::core {

UsageFigures operator+(const UsageFigures& left, const UsageFigures& right) {
  return {left.requests + right.requests,
          left.prompt_tokens + right.prompt_tokens,
          left.output_tokens + right.output_tokens};
}

UsageFigures operator-(const UsageFigures& left, const UsageFigures& right) {
  return {left.requests - right.requests,
          left.prompt_tokens - right.prompt_tokens,
          left.output_tokens - right.output_tokens};
}

UsageFigures MaxOf(const UsageFigures& left, const UsageFigures& right) {
  return {std::max(left.requests, right.requests),
          std::max(left.prompt_tokens, right.prompt_tokens),
          std::max(left.output_tokens, right.output_tokens)};
}

AccountUsage TotalsOf(const WindowUsage& counters) {
  AccountUsage totals;
  for (const auto& [agent, accounts] : counters) {
    for (const auto& [account, figures] : accounts) {
      totals[account] = totals[account] + figures;
    }
  }
  return totals;
}

bool MergeUsage(AccountUsage& into, const AccountUsage& from) {
  bool raised = false;
  for (const auto& [account, figures] : from) {
    UsageFigures& current = into[account];
    const UsageFigures merged = MaxOf(current, figures);
    raised = raised || merged != current;
    current = merged;
  }
  return raised;
}

bool MergeUsage(WindowUsage& into, const WindowUsage& from) {
  bool raised = false;
  for (const auto& [agent, accounts] : from) {
    raised = MergeUsage(into[agent], accounts) || raised;
  }
  return raised;
}

AgentUsageLedger::AgentUsageLedger(size_t kept_windows)
    : kept_windows(kept_windows) {}

void AgentUsageLedger::Count(const base::ClientAccountId& client_account,
                             const UsageFigures& figures) {
  UsageFigures& counter = this->windows[this->current_window][client_account];
  counter = counter + figures;
  if (!this->uncollected_from) {
    this->uncollected_from = this->current_window;
  }
}

void AgentUsageLedger::BeginWindow(int64_t window) {
  if (window <= this->current_window) {
    return;
  }
  if (this->current_window == 0) {
    auto buffered = this->windows.extract(0);
    if (!buffered.empty()) {
      buffered.key() = window;
      this->windows.insert(std::move(buffered));
      this->uncollected_from = window;
    }
  }
  this->current_window = window;
  this->DropOldWindows();
}

void AgentUsageLedger::DropOldWindows() {
  while (this->windows.size() > this->kept_windows) {
    const int64_t oldest = this->windows.begin()->first;
    if (this->uncollected_from && oldest >= *this->uncollected_from) {
      return;
    }
    this->windows.erase(oldest);
  }
}

std::vector<UsageCounter> AgentUsageLedger::CountersSince(
    int64_t first_window) const {
  std::vector<UsageCounter> counters;
  const int64_t first = std::max<int64_t>(first_window, 1);
  for (auto window = this->windows.lower_bound(first);
       window != this->windows.end(); ++window) {
    for (const auto& [account, figures] : window->second) {
      counters.push_back({account, window->first, figures});
    }
  }
  if (this->current_window >= first) {
    counters.push_back({{}, this->current_window, {}});
  }
  return counters;
}

void AgentUsageLedger::MarkCollected(int64_t first_window) {
  // Usage counted before the first window isn't returned by CountersSince.
  if (this->current_window > 0 && this->uncollected_from &&
      first_window <= *this->uncollected_from) {
    this->uncollected_from.reset();
  }
}

bool UsageCollection::Merge(const base::BootId& agent,
                            const UsageCounter& counter) {
  if (counter.figures == UsageFigures()) {
    return false;
  }
  Window& window = this->windows[counter.window];
  AccountUsage& accounts = window.usage[agent];
  const auto [entry, added] = accounts.try_emplace(counter.client_account);
  window.counters += added ? 1 : 0;
  this->counters += added ? 1 : 0;
  const UsageFigures merged = MaxOf(entry->second, counter.figures);
  if (merged == entry->second) {
    return false;
  }
  entry->second = merged;
  // Unique over all windows, so that a window which was dropped and added again
  // never gets a revision it had before.
  window.revision = ++this->last_revision;
  return true;
}

void UsageCollection::Merge(const UsageCollection& other) {
  for (const auto& [number, window] : other.windows) {
    for (const auto& [agent, accounts] : window.usage) {
      for (const auto& [account, figures] : accounts) {
        this->Merge(agent, {account, number, figures});
      }
    }
  }
}

const WindowUsage& UsageCollection::UsageOf(int64_t window) const {
  static const WindowUsage kEmpty;
  const auto found = this->windows.find(window);
  return found == this->windows.end() ? kEmpty : found->second.usage;
}

int64_t UsageCollection::RevisionOf(int64_t window) const {
  const auto found = this->windows.find(window);
  return found == this->windows.end() ? 0 : found->second.revision;
}

std::vector<int64_t> UsageCollection::Windows() const {
  std::vector<int64_t> numbers;
  for (const auto& [number, window] : this->windows) {
    numbers.push_back(number);
  }
  return numbers;
}

size_t UsageCollection::CounterCount(int64_t window) const {
  const auto found = this->windows.find(window);
  return found == this->windows.end() ? 0 : found->second.counters;
}

void UsageCollection::DropOldest(size_t max_counters) {
  while (this->counters > max_counters && this->windows.size() > 1) {
    this->counters -= this->windows.begin()->second.counters;
    this->windows.erase(this->windows.begin());
  }
}

bool UsageCollection::operator==(const UsageCollection& other) const {
  return std::equal(this->windows.begin(), this->windows.end(),
                    other.windows.begin(), other.windows.end(),
                    [](const auto& left, const auto& right) {
                      return left.first == right.first &&
                             left.second.usage == right.second.usage;
                    });
}

}  // namespace carawayvalve::core
