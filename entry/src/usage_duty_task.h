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

// The work of the region's usage duty: closes, seals and reports its windows.
class UsageDutyTask {
 public:
  // `collector` and `metrics` must outlive the work.
  UsageDutyTask(const EntrySettings& settings,
            const base::BootId& self,
            const systems::ObjectApi& store,
            UsageCollector& collector,
            EntryMetrics& metrics);

  // How long windows are open, and how long their usage is awaited.
  void SetLimits(const config::Limits& limits);

  // Does what is due, on the duty's work thread.
  void Run(const DutyRunner::GetGrant& get_grant);

  // How far the windows were when this process last held the duty; nothing
  // before that.
  std::optional<core::UsageProgress> Progress() const;

 private:
  using Action = std::optional<core::UsageAction>;
  // Nothing ends the round; the call counts as given up.
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
  // One for each epoch; touched by the work thread alone.
  std::optional<core::UsageReporter> reporter;
  mutable std::mutex mutex;
  core::UsageReporterOptions reporter_options;
  std::optional<core::UsageProgress> progress;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_USAGE_DUTY_TASK_H_
