#ifndef CARAWAYVALVE_ENTRY_SRC_USAGE_DUTY_TASK_H_
#define CARAWAYVALVE_ENTRY_SRC_USAGE_DUTY_TASK_H_

#include <mutex>
#include <optional>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/lease.h"
#include "carawayvalve/core/usage_reporter.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/systems/object_api.h"
#include "carawayvalve/systems/usage.h"
#include "duty_runner.h"
#include "entry_metrics.h"
#include "usage_collector.h"

namespace carawayvalve::entry {

// The task of the region's usage duty: closes, seals and reports its usage
// windows.
class UsageDutyTask {
 public:
  // `collector` and `metrics` must outlive the task.
  UsageDutyTask(const EntrySettings& settings,
                const base::BootId& self,
                const systems::ObjectApi& store,
                UsageCollector& collector,
                EntryMetrics& metrics);

  // Sets how long windows stay open and how long their usage is awaited.
  void SetLimits(const config::Limits& limits);

  // Performs all actions that are due, on the task thread of the duty runner.
  void Run(const DutyRunner::GetGrant& get_grant);

  // Returns the progress of the windows when this process last held the duty;
  // nothing if it has not held it yet.
  std::optional<core::UsageProgress> Progress() const;

 private:
  using Action = std::optional<core::UsageAction>;
  // Nothing means that the call was given up and the round ends.
  using CallResult = std::optional<core::UsageEvent>;

  core::UsageReporterOptions ReporterOptions() const;
  Action Step(const core::UsageEvent& event);

  CallResult Perform(const core::ReadUsageObject& action,
                     const core::LeaseGrant& grant) const;
  CallResult Perform(const core::WriteUsageObject& action,
                     const core::LeaseGrant& grant) const;
  CallResult Perform(const core::DeleteUsageObject& action,
                     const core::LeaseGrant& grant) const;
  CallResult Perform(const core::GatherUsage& action,
                     const core::LeaseGrant& grant) const;
  CallResult Perform(const core::SendUsageReport& action,
                     const core::LeaseGrant& grant) const;

  base::RegionId region;
  base::BootId self;
  systems::ObjectApi store;
  systems::UsageInterface usage;
  UsageCollector& collector;
  EntryMetrics& metrics;
  base::Log log;
  // Created anew for each epoch. Used by the task thread only.
  std::optional<core::UsageReporter> reporter;
  mutable std::mutex mutex;
  core::UsageReporterOptions reporter_options;
  std::optional<core::UsageProgress> progress;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_USAGE_DUTY_TASK_H_
