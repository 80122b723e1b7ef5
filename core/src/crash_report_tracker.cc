#include "carawayvalve/core/crash_report_tracker.h"

namespace carawayvalve::core {

void CrashReportTracker::SetPeers(const std::set<base::HostId>& reachable) {
  this->peers = reachable;
  for (auto& [id, report] : this->reports) {
    std::erase_if(report.waiting_for, [&](const base::HostId& peer) {
      return !reachable.contains(peer);
    });
  }
}

CrashReportTracker::ReportId CrashReportTracker::Add(const CrashRecord& record,
                                                     base::Instant now) {
  this->last_id += 1;
  this->reports[this->last_id] = {record, now, this->peers};
  return this->last_id;
}

CrashReportTracker::Batch CrashReportTracker::Unacknowledged(
    const base::HostId& peer,
    base::Instant now) const {
  Batch batch;
  for (const auto& [id, report] : this->reports) {
    if (report.waiting_for.contains(peer)) {
      CrashRecord record = report.record;
      record.age += now - report.added;
      batch.records.push_back(std::move(record));
      batch.newest = id;
    }
  }
  return batch;
}

void CrashReportTracker::NoteAcknowledged(const base::HostId& peer,
                                          ReportId newest) {
  const auto end = this->reports.upper_bound(newest);
  for (auto report = this->reports.begin(); report != end; ++report) {
    report->second.waiting_for.erase(peer);
  }
}

std::vector<CrashReportTracker::ReportId> CrashReportTracker::TakeDone(
    base::Instant now) {
  std::vector<ReportId> done;
  std::erase_if(this->reports, [&](const auto& entry) {
    const auto& [id, report] = entry;
    const bool is_done =
        report.waiting_for.empty() || now - report.added >= this->limit;
    if (is_done) {
      done.push_back(id);
    }
    return is_done;
  });
  return done;
}

}  // namespace carawayvalve::core
