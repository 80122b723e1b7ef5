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

// Competes for one duty's lease and does the duty's work while it holds it.
// Renewals have a thread of their own, so that slow work can't delay them.
class DutyRunner {
 public:
  // Asks for the grant as it stands now.
  using GetGrant = std::function<std::optional<core::LeaseGrant>()>;
  // Does one round of work; must ask `get_grant` right before each step that
  // others see.
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
  // Gives the lease up, if the store answers, and ends the threads.
  ~DutyRunner();

  DutyRunner(const DutyRunner&) = delete;
  DutyRunner& operator=(const DutyRunner&) = delete;

  // How much longer than others this process waits before it takes a lease
  // that is free; nothing if it is no candidate.
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
  // Sleeps, but not past the stop. Returns false once stopping.
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
