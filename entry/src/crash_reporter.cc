#include "crash_reporter.h"

#include <utility>
#include <vector>

#include "carawayvalve/base/time.h"
#include "carawayvalve/core/duty.h"

namespace carawayvalve::entry {

namespace {

// The timeout of a call to a peer: one that takes longer is out of reach.
constexpr base::Milliseconds kReportLimit{1000};

}  // namespace

CrashReporter::CrashReporter(const base::HostId& self)
    : self(self), tracker(kReportLimit) {}

void CrashReporter::SetOnReport(Task on_report) {
  this->on_report = std::move(on_report);
}

void CrashReporter::Report(const core::RequestContent& content,
                           const std::string& death_id,
                           Task then) {
  {
    std::unique_lock lock(this->mutex);
    const auto id = this->tracker.Add(
        {content.digest, death_id, {}, content.parts}, base::Now());
    this->tasks[id] = std::move(then);
    this->RunDone(std::move(lock));
  }
  if (this->on_report) {
    this->on_report();
  }
}

bool CrashReporter::MakesTrialsOf(const std::string& part) const {
  const std::lock_guard lock(this->mutex);
  std::vector<base::HostId> hosts(this->reachable_peers.begin(),
                                  this->reachable_peers.end());
  hosts.push_back(this->self);
  return core::PreferredHolder("trial/" + part, hosts) == this->self;
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
