#include "usage_counters.h"

namespace carawayvalve::agent {

void UsageCounters::Count(const base::ClientAccountId& client_account,
                          const core::UsageFigures& figures) {
  const std::lock_guard lock(this->mutex);
  this->ledger.Count(client_account, figures);
  this->totals = this->totals + figures;
  this->last_counted_account = client_account;
  this->uncollected_in_window += 1;
}

std::vector<core::UsageCounter> UsageCounters::Collect(int64_t since_window,
                                                       int64_t open_window) {
  const std::lock_guard lock(this->mutex);
  this->NoteCollected(since_window);
  this->BeginWindow(open_window);
  this->EndWindowIfClosed();
  if (since_window < this->ledger.window()) {
    this->window_announced = true;
  }
  return this->ledger.CountersSince(since_window);
}

// A collector that read from an earlier run of the agent may request a window
// of that run. The request confirms nothing until an answer of this run has
// announced the window.
void UsageCounters::NoteCollected(int64_t since_window) {
  if (!this->window_announced || since_window != this->ledger.window()) {
    return;
  }
  this->ledger.MarkCollected(0);
  this->uncollected_before_window = 0;
  if (this->uncollected_in_window > 0) {
    // Adds nothing, but marks the current window as not collected.
    this->ledger.Count(this->last_counted_account, {});
  }
  this->collected.notify_all();
}

void UsageCounters::BeginWindow(int64_t window) {
  if (window <= this->ledger.window()) {
    return;
  }
  // Usage that was counted before the first window belongs to that window.
  if (this->ledger.window() > 0) {
    this->uncollected_before_window += this->uncollected_in_window;
    this->uncollected_in_window = 0;
  }
  this->ledger.BeginWindow(window);
  this->window_announced = false;
}

void UsageCounters::EndWindowIfClosed() {
  if (this->closed && this->ledger.window() > 0 &&
      this->uncollected_in_window > 0) {
    this->BeginWindow(this->ledger.window() + 1);
  }
}

void UsageCounters::Close() {
  const std::lock_guard lock(this->mutex);
  this->closed = true;
  this->EndWindowIfClosed();
}

bool UsageCounters::WaitUntilCollected(base::Milliseconds wait) {
  std::unique_lock lock(this->mutex);
  return this->collected.wait_for(lock, wait,
                                  [&] { return this->ledger.AllCollected(); });
}

UsageCounters::State UsageCounters::state() const {
  const std::lock_guard lock(this->mutex);
  return {this->ledger.window(),
          this->uncollected_before_window + this->uncollected_in_window,
          this->totals};
}

}  // namespace carawayvalve::agent
