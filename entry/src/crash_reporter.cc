#include "crash_reporter.h"

#include <utility>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::entry {

namespace {

// The timeout of a call to a peer: one that takes longer is out of reach.
constexpr base::Milliseconds kReportLimit{1000};

}  // namespace

CrashReporter::CrashReporter() : tracker(kReportLimit) {}

void CrashReporter::SetOnReport(Task on_report) {
  this->on_report = std::move(on_report);
}

void CrashReporter::Report(const std::string& content_digest,
                           const std::string& death_id,
                           Task then) {
  {
    std::unique_lock lock(this->mutex);
    const auto id =
        this->tracker.Add({content_digest, death_id, {}}, base::Now());
    this->tasks[id] = std::move(then);
    this->RunDone(std::move(lock));
  }
  if (this->on_report) {
    this->on_report();
  }
}

void CrashReporter::NoteReachable(const base::HostId& peer, bool reachable) {
  std::unique_lock lock(this->mutex);
  const bool changed = reachable ? this->reachable_peers.insert(peer).second
                                 : this->reachable_peers.erase(peer) > 0;
  if (changed) {
    this->tracker.SetPeers(this->reachable_peers);
    this->RunDone(std::move(lock));
  }
}

core::CrashReportTracker::Batch CrashReporter::Unacknowledged(
    const base::HostId& peer) const {
  const std::lock_guard lock(this->mutex);
  return this->tracker.Unacknowledged(peer, base::Now());
}

void CrashReporter::NoteAcknowledged(
    const base::HostId& peer,
    core::CrashReportTracker::ReportId newest) {
  std::unique_lock lock(this->mutex);
  this->tracker.NoteAcknowledged(peer, newest);
  this->RunDone(std::move(lock));
}

void CrashReporter::Tick() {
  std::unique_lock lock(this->mutex);
  if (!this->tracker.empty()) {
    this->RunDone(std::move(lock));
  }
}

void CrashReporter::RunDone(std::unique_lock<std::mutex> lock) {
  std::vector<Task> done;
  for (const auto id : this->tracker.TakeDone(base::Now())) {
    const auto task = this->tasks.find(id);
    done.push_back(std::move(task->second));
    this->tasks.erase(task);
  }
  lock.unlock();
  for (const Task& task : done) {
    task();
  }
}

}  // namespace carawayvalve::entry
