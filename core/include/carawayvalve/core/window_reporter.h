#ifndef CARAWAYVALVE_CORE_WINDOW_REPORTER_H_
#define CARAWAYVALVE_CORE_WINDOW_REPORTER_H_

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "carawayvalve/base/time.h"
#include "carawayvalve/core/window_counts.h"

namespace carawayvalve::core {

// Writes the figures of a window into the store unless there are some already.
// Answered by SealStored, SealFound or SealFailed.
struct StoreSeal {
  int64_t window = 0;
  AccountCounts counts;

  bool operator==(const StoreSeal&) const = default;
};

// Sends the sealed figures. Answered by ReportTaken or ReportFailed.
struct SendReport {
  int64_t window = 0;
  AccountCounts counts;

  bool operator==(const SendReport&) const = default;
};

using ReportAction = std::variant<StoreSeal, SendReport>;

// The figures were written, or those of another process were there already.
struct SealKnown {
  int64_t window = 0;
  AccountCounts counts;
};
// It isn't known whether they were written.
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

// Reports each window of usage once, whoever holds the duty. The figures that
// a window is reported with are first written to the store, where only the
// first write of a window counts: two processes that both believe that they
// hold the duty, or a successor that doesn't know what its predecessor sent,
// report the same figures.
class WindowReporter {
 public:
  struct Settings {
    base::Duration window_length = std::chrono::seconds(5);
    // From a window's end until its figures are sealed: others' counts are
    // under way so long.
    base::Duration seal_delay = std::chrono::seconds(2);
    // From a window's end until reporting it is pointless.
    base::Duration max_report_delay = std::chrono::seconds(10);
    base::Duration retry_delay = std::chrono::milliseconds(500);

    bool operator==(const Settings&) const = default;
  };

  explicit WindowReporter(const Settings& settings) : settings(settings) {}

  // Returns the window of a true time since 1970.
  int64_t WindowOf(base::Duration wall_time) const;

  // Returns what to do now, as the duty's holder.
  std::vector<ReportAction> Tick(const WindowCounts& counts,
                                 base::Duration wall_time,
                                 base::Instant now);
  void Step(const ReportEvent& event, base::Instant now);

  // Windows reported by this process.
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

  Settings settings;
  std::map<int64_t, Window> windows;
  int64_t reported_count = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_WINDOW_REPORTER_H_
