#ifndef CARAWAYVALVE_CORE_WINDOW_REPORTER_H_
#define CARAWAYVALVE_CORE_WINDOW_REPORTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "carawayvalve/base/time.h"
#include "carawayvalve/core/window_counts.h"

namespace carawayvalve::core {

// Writes a window's counts to the store unless it is sealed already. Answered
// by SealKnown or SealFailed.
struct StoreSeal {
  int64_t window = 0;
  AccountCounts counts;

  bool operator==(const StoreSeal&) const = default;
};

// Sends the sealed counts. Answered by ReportAccepted or ReportFailed.
struct SendReport {
  int64_t window = 0;
  AccountCounts counts;

  bool operator==(const SendReport&) const = default;
};

using ReportAction = std::variant<StoreSeal, SendReport>;

// The stored counts: those of StoreSeal, or of the process that sealed the
// window first.
struct SealKnown {
  int64_t window = 0;
  AccountCounts counts;
};
// It is unknown whether the counts were written.
struct SealFailed {
  int64_t window = 0;
};
struct ReportAccepted {
  int64_t window = 0;
};
struct ReportFailed {
  int64_t window = 0;
};

using ReportEvent =
    std::variant<SealKnown, SealFailed, ReportAccepted, ReportFailed>;

// Seals and reports the usage of each window. A window's counts are written to
// the store before they are reported, and only the first write of a window
// succeeds. So two processes that hold the duty at the same time, or a
// successor that doesn't know what its predecessor sent, report the same
// counts.
class WindowReporter {
 public:
  struct Settings {
    base::Duration window_length = std::chrono::seconds(5);
    // From a window's end until it is sealed, which gives the counts of peers
    // time to arrive.
    base::Duration seal_delay = std::chrono::seconds(2);
    // The same while a process that was heard in the window hasn't been heard
    // since: its counts may arrive yet.
    base::Duration max_seal_delay = std::chrono::seconds(2);
    // From a window's end until a process has told all of its counts, if it is
    // heard then.
    base::Duration settle_time = std::chrono::seconds(1);
    // From a window's end until it is no longer reported.
    base::Duration max_report_delay = std::chrono::seconds(10);
    base::Duration retry_delay = std::chrono::milliseconds(500);
    // By how much the clocks of two processes may differ.
    base::Duration clock_error = std::chrono::seconds(1);

    bool operator==(const Settings&) const = default;
  };

  explicit WindowReporter(const Settings& settings) : settings(settings) {}

  // Sets since when, in wall-clock time since 1970, no seal has been lost: the
  // store came back from an older copy before. A window that may have been
  // sealed earlier is sealed no more, as other counts of it may have been
  // reported.
  void SetSealsKeptSince(base::Duration wall_time) {
    this->seals_kept_since = wall_time;
  }

  // Returns the window that contains a wall-clock time since 1970.
  int64_t WindowOf(base::Duration wall_time) const;

  // Returns the actions that are due. `heard` tells when each of the other
  // processes was last heard. Called only while holding the duty.
  std::vector<ReportAction> Tick(const WindowCounts& counts,
                                 base::Duration wall_time,
                                 base::Instant now,
                                 const std::vector<base::Instant>& heard = {});
  void Step(const ReportEvent& event, base::Instant now);

  // Returns the number of windows that this process has reported.
  int64_t reported() const { return this->reported_count; }

 private:
  enum class Stage { kUnsealed, kSealed, kReported };
  struct Window {
    Stage stage = Stage::kUnsealed;
    AccountCounts sealed;
    bool in_flight = false;
    base::Instant retry_at;
  };

  void On(const SealKnown& event, base::Instant now);
  void On(const SealFailed& event, base::Instant now);
  void On(const ReportAccepted& event, base::Instant now);
  void On(const ReportFailed& event, base::Instant now);
  void ScheduleRetry(int64_t window, base::Instant now);
  // Returns whether a seal of the window may have been lost.
  bool MayHaveLostSeal(int64_t window) const;
  // Returns whether counts of the window that ended at this time may arrive
  // yet.
  bool AwaitsCounts(base::Instant window_end,
                    base::Instant now,
                    const std::vector<base::Instant>& heard) const;

  Settings settings;
  std::map<int64_t, Window> windows;
  std::optional<base::Duration> seals_kept_since;
  int64_t reported_count = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_WINDOW_REPORTER_H_
