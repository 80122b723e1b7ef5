#ifndef CARAWAYVALVE_CORE_CRASH_REPORT_TRACKER_H_
#define CARAWAYVALVE_CORE_CRASH_REPORT_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/poison_request_tracker.h"

namespace carawayvalve::core {

// Orders the report of a crash before what follows it. A request that was
// running when a backend server crashed is retried or answered only after all
// reachable peers have acknowledged the crash, or after a limit: the caller's
// next attempt may arrive at any of them.
class CrashReportTracker {
 public:
  using ReportId = int64_t;

  // The records that one peer lacks, and the newest report among them.
  struct Batch {
    ReportId newest = 0;
    std::vector<CrashRecord> records;

    bool operator==(const Batch&) const = default;
  };

  // `limit` is the longest time for which a report holds back what follows.
  explicit CrashReportTracker(base::Duration limit) : limit(limit) {}

  // Replaces the peers that can be reached. A report waits for no other peer.
  void SetPeers(const std::set<base::HostId>& reachable);

  // Adds a report that waits for the current peers.
  ReportId Add(const CrashRecord& record, base::Instant now);

  // Returns the records that `peer` hasn't acknowledged, with their present
  // ages.
  Batch Unacknowledged(const base::HostId& peer, base::Instant now) const;

  // Records that `peer` has all reports up to `newest`.
  void NoteAcknowledged(const base::HostId& peer, ReportId newest);

  // Returns the reports that wait no longer, oldest first, and forgets them.
  std::vector<ReportId> TakeDone(base::Instant now);

  bool empty() const { return this->reports.empty(); }

 private:
  struct Report {
    CrashRecord record;
    base::Instant added;
    std::set<base::HostId> waiting_for;
  };

  base::Duration limit;
  ReportId last_id = 0;
  std::set<base::HostId> peers;
  std::map<ReportId, Report> reports;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CRASH_REPORT_TRACKER_H_
