#ifndef CARAWAYVALVE_ENTRY_SRC_CRASH_REPORTER_H_
#define CARAWAYVALVE_ENTRY_SRC_CRASH_REPORTER_H_

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/crash_report_tracker.h"

namespace carawayvalve::entry {

// Reports crashes of backend servers to the other entry processes, and runs
// what follows a crash once they have been told. Thread-safe.
class CrashReporter {
 public:
  using Task = std::function<void()>;

  explicit CrashReporter(const base::HostId& self);

  // Sets the function that has the peers told soon, and which is called without
  // a lock held. To be set before the first report.
  void SetOnReport(Task on_report);

  // Reports the crash to all reachable peers, then runs `then`, on any thread.
  void Report(const core::RequestContent& content,
              const std::string& death_id,
              Task then);

  // Returns whether this process, among the reachable ones, makes the trials of
  // a part that crashed backend servers.
  bool MakesTrialsOf(const std::string& part) const;

  // Called by the poller of each peer: it was reached, or couldn't be.
  void NoteReachable(const base::HostId& peer, bool reachable);
  core::CrashReportTracker::Batch Unacknowledged(
      const base::HostId& peer) const;
  void NoteAcknowledged(const base::HostId& peer,
                        core::CrashReportTracker::ReportId newest);

  // Runs the tasks of reports that have waited for too long. To be called
  // regularly.
  void Tick();

 private:
  // Runs the tasks of reports that wait no longer; needs the lock, which it
  // releases.
  void RunDone(std::unique_lock<std::mutex> lock);

  const base::HostId self;
  mutable std::mutex mutex;
  Task on_report;
  core::CrashReportTracker tracker;
  std::set<base::HostId> reachable_peers;
  std::map<core::CrashReportTracker::ReportId, Task> tasks;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CRASH_REPORTER_H_
