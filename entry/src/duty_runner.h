#ifndef CARAWAYVALVE_ENTRY_SRC_DUTY_RUNNER_H_
#define CARAWAYVALVE_ENTRY_SRC_DUTY_RUNNER_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/core/lease.h"
#include "carawayvalve/systems/object_api.h"

namespace carawayvalve::entry {

// Competes for the lease of one duty and runs the duty's task in rounds while
// the lease is held. A separate thread renews the lease, so that a slow task
// can't delay renewals.
class DutyRunner {
 public:
  // Returns the current grant, or nothing if the lease is not held.
  using GetGrant = std::function<std::optional<core::LeaseGrant>()>;
  // Runs one round of the task. Must call `get_grant` right before each step
  // that has an effect outside of this process.
  using Task = std::function<void(const GetGrant& get_grant)>;

  struct Options {
    std::string duty;
    base::BootId self;
    core::LeaseOptions lease_options;
    base::Milliseconds task_interval{500};
  };

  DutyRunner(const Options& options,
             const systems::ObjectApi& store,
             Task task);
  // Releases the lease, if the store answers, and joins the threads.
  ~DutyRunner();

  DutyRunner(const DutyRunner&) = delete;
  DutyRunner& operator=(const DutyRunner&) = delete;

  // Sets how much longer than other candidates this process waits before it
  // acquires a free lease; nothing if this process is no candidate.
  void SetTakeoverDelay(std::optional<base::Duration> delay);
  std::optional<core::LeaseGrant> Grant() const;
  const std::string& duty() const { return this->options.duty; }

 private:
  void RunLease();
  bool TaskEnded() const;
  void RunTask();
  void HandleEvent(const core::LeaseEvent& event);
  core::LeaseEvent Perform(const core::ReadLease& action) const;
  core::LeaseEvent Perform(const core::WriteLease& action) const;
  // Sleeps for `time` or until the runner stops. Returns false if it is
  // stopping.
  bool Sleep(base::Milliseconds time);

  Options options;
  systems::ObjectApi store;
  Task task;
  base::Log log;
  mutable std::mutex mutex;
  std::condition_variable changed;
  core::Lease lease;
  std::optional<base::Duration> takeover_delay;
  bool stopping = false;
  bool task_ended = false;
  std::thread lease_thread;
  std::thread task_thread;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_DUTY_RUNNER_H_
