#include "carawayvalve/core/window_reporter.h"

#include <algorithm>

namespace carawayvalve::core {

int64_t WindowReporter::WindowOf(base::Duration wall_time) const {
  return wall_time / this->settings.window_length;
}

std::vector<ReportAction> WindowReporter::Tick(
    const WindowCounts& counts,
    base::Duration wall_time,
    base::Instant now,
    const std::vector<base::Instant>& heard) {
  std::vector<ReportAction> actions;
  // `last` is the newest window that may be sealed, `first` the oldest that may
  // still be reported.
  const int64_t last =
      this->WindowOf(wall_time - this->settings.seal_delay) - 1;
  const int64_t first =
      this->WindowOf(wall_time - this->settings.max_report_delay);
  this->windows.erase(this->windows.begin(), this->windows.lower_bound(first));
  for (int64_t number = first; number <= last; ++number) {
    Window& window = this->windows[number];
    if (window.in_flight || window.stage == Stage::kReported ||
        now < window.retry_at) {
      continue;
    }
    const base::Duration since_end =
        wall_time - (number + 1) * this->settings.window_length;
    if (window.stage == Stage::kUnsealed &&
        (this->MayHaveLostSeal(number) ||
         this->AwaitsCounts(now - since_end, now, heard))) {
      continue;
    }
    window.in_flight = true;
    if (window.stage == Stage::kUnsealed) {
      actions.emplace_back(StoreSeal{number, counts.Sum(number)});
    } else {
      actions.emplace_back(SendReport{number, window.sealed});
    }
  }
  return actions;
}

bool WindowReporter::MayHaveLostSeal(int64_t window) const {
  const base::Duration sealed_at =
      (window + 1) * this->settings.window_length + this->settings.seal_delay;
  return this->seals_kept_since.has_value() &&
         sealed_at <= *this->seals_kept_since + this->settings.clock_error;
}

bool WindowReporter::AwaitsCounts(
    base::Instant window_end,
    base::Instant now,
    const std::vector<base::Instant>& heard) const {
  if (now - window_end >= this->settings.max_seal_delay) {
    return false;
  }
  return std::any_of(heard.begin(), heard.end(), [&](base::Instant at) {
    return at >= window_end - this->settings.window_length &&
           at < window_end + this->settings.settle_time;
  });
}

void WindowReporter::Step(const ReportEvent& event, base::Instant now) {
  std::visit([&](const auto& kind) { this->On(kind, now); }, event);
}

void WindowReporter::On(const SealKnown& event, base::Instant /*now*/) {
  const auto found = this->windows.find(event.window);
  if (found != this->windows.end()) {
    found->second.stage = Stage::kSealed;
    found->second.sealed = event.counts;
    found->second.in_flight = false;
  }
}

void WindowReporter::On(const SealFailed& event, base::Instant now) {
  this->ScheduleRetry(event.window, now);
}

void WindowReporter::On(const ReportAccepted& event, base::Instant /*now*/) {
  const auto found = this->windows.find(event.window);
  if (found != this->windows.end()) {
    found->second.stage = Stage::kReported;
    found->second.in_flight = false;
    ++this->reported_count;
  }
}

void WindowReporter::On(const ReportFailed& event, base::Instant now) {
  this->ScheduleRetry(event.window, now);
}

void WindowReporter::ScheduleRetry(int64_t window, base::Instant now) {
  const auto found = this->windows.find(window);
  if (found != this->windows.end()) {
    found->second.in_flight = false;
    found->second.retry_at = now + this->settings.retry_delay;
  }
}

}  // namespace carawayvalve::core
