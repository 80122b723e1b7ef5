#include "usage_duty_task.h"

#include <algorithm>
#include <functional>

#include "carawayvalve/base/error.h"
#include "carawayvalve/core/usage_objects.h"

namespace carawayvalve::entry {

namespace {

// Peers are also asked for the usage of this many windows before the one to be
// sealed: a peer may have collected it only just now, and then it isn't in the
// store yet.
constexpr int64_t kEarlierWindows = 2;

systems::UsageReport ToPlatform(const core::UsageReport& report) {
  systems::UsageReport platform_report;
  platform_report.report_id = report.report_id;
  platform_report.region = report.region;
  platform_report.window = report.window;
  platform_report.holder = report.writer.process.value;
  platform_report.epoch = report.writer.epoch;
  for (const core::UsageReportLine& line : report.lines) {
    platform_report.lines.push_back(
        {line.client_account, line.figures.requests, line.figures.prompt_tokens,
         line.figures.output_tokens, line.correction_of});
  }
  return platform_report;
}

// Makes a call that writes or deletes an object and converts its outcome.
core::UsageEvent UpdateObject(
    const base::Log& log,
    const std::function<systems::UpdateResult()>& call) {
  try {
    const systems::UpdateResult result = call();
    if (result.done) {
      return core::UsageWriteDone{result.version};
    }
    return core::UsageWriteConflict{};
  } catch (const base::UnknownOutcomeError& error) {
    log.Warn(error.what(), {.peer = error.peer(), .step = error.step()});
    return core::UsageWriteUncertain{};
  } catch (const base::Error& error) {
    log.Warn(error.what(), {.peer = error.peer(), .step = error.step()});
    return core::UsageCallFailed{};
  }
}

}  // namespace

UsageDutyTask::UsageDutyTask(const EntrySettings& settings,
                             const base::BootId& self,
                             const systems::ObjectApi& store,
                             UsageCollector& collector,
                             EntryMetrics& metrics)
    : region(settings.region),
      self(self),
      store(store),
      usage(settings.usage_address),
      collector(collector),
      metrics(metrics),
      log("usage") {}

void UsageDutyTask::SetLimits(const config::Limits& limits) {
  const std::lock_guard lock(this->mutex);
  this->reporter_options.window_length =
      base::Milliseconds(limits.usage_window_ms);
  this->reporter_options.grace_period =
      base::Milliseconds(limits.usage_grace_ms);
}

core::UsageReporterOptions UsageDutyTask::ReporterOptions() const {
  const std::lock_guard lock(this->mutex);
  return this->reporter_options;
}

void UsageDutyTask::Run(const DutyRunner::GetGrant& get_grant) {
  std::optional<core::LeaseGrant> grant = get_grant();
  if (!grant) {
    return;
  }
  if (!this->reporter || this->reporter->epoch() != grant->epoch) {
    this->reporter.emplace(this->region,
                           core::UsageWriter{this->self, grant->epoch},
                           this->ReporterOptions());
  }
  this->reporter->SetOptions(this->ReporterOptions());
  Action action = this->Step(core::UsageTick{});
  while (action) {
    grant = get_grant();
    if (!grant || grant->epoch != this->reporter->epoch()) {
      return;
    }
    const CallResult answer = std::visit(
        [&](const auto& call) { return this->Perform(call, *grant); }, *action);
    if (!answer) {
      return;
    }
    action = this->Step(*answer);
  }
}

std::optional<core::UsageProgress> UsageDutyTask::Progress() const {
  const std::lock_guard lock(this->mutex);
  return this->progress;
}

UsageDutyTask::Action UsageDutyTask::Step(const core::UsageEvent& event) {
  Action action;
  this->collector.ReadCollection([&](const core::UsageCollection& collected) {
    action = this->reporter->Step(event, collected, base::Now());
  });
  if (const core::UsageProgress* current = this->reporter->progress()) {
    this->collector.NoteOpenWindow(current->open);
    const std::lock_guard lock(this->mutex);
    this->progress = *current;
  }
  return action;
}

UsageDutyTask::CallResult UsageDutyTask::Perform(
    const core::ReadUsageObject& action,
    const core::LeaseGrant&) const {
  try {
    const std::optional<systems::Object> object =
        this->store.Get(core::UsageKindName(action.id.kind),
                        core::UsageObjectName(this->region, action.id));
    core::UsageObjectRead read;
    if (object) {
      read.object = core::DecodeUsageObject(action.id.kind, object->value);
      read.version = object->version;
    }
    return read;
  } catch (const base::Error& error) {
    this->log.Warn(error.what(), {.peer = error.peer(), .step = error.step()});
    return core::UsageCallFailed{};
  }
}

UsageDutyTask::CallResult UsageDutyTask::Perform(
    const core::WriteUsageObject& action,
    const core::LeaseGrant&) const {
  return UpdateObject(this->log, [&] {
    return this->store.Put(core::UsageKindName(action.id.kind),
                           core::UsageObjectName(this->region, action.id),
                           core::EncodeUsageObject(action.object),
                           action.if_version);
  });
}

UsageDutyTask::CallResult UsageDutyTask::Perform(
    const core::DeleteUsageObject& action,
    const core::LeaseGrant&) const {
  return UpdateObject(this->log, [&] {
    return this->store.Delete(core::UsageKindName(action.id.kind),
                              core::UsageObjectName(this->region, action.id),
                              action.if_version);
  });
}

UsageDutyTask::CallResult UsageDutyTask::Perform(
    const core::GatherUsage& action,
    const core::LeaseGrant&) const {
  this->collector.CollectRegion(action.window - kEarlierWindows);
  return core::UsageGathered{};
}

UsageDutyTask::CallResult UsageDutyTask::Perform(
    const core::SendUsageReport& action,
    const core::LeaseGrant& grant) const {
  const auto timeout = std::chrono::ceil<base::Milliseconds>(
      this->ReporterOptions().report_timeout);
  // Doesn't start a call that may outlast the lease.
  if (grant.valid_until - base::Now() < timeout) {
    return std::nullopt;
  }
  try {
    if (this->usage.Send(ToPlatform(action.report), timeout)) {
      this->metrics.CountUsageReport("taken");
      return core::UsageReportAccepted{};
    }
    this->log.Warn("The usage interface refused the report of window " +
                   std::to_string(action.report.window) +
                   ": it has other figures under the report's id.");
    this->metrics.CountUsageReport("refused");
    return core::UsageReportRefused{};
  } catch (const base::Error& error) {
    this->log.Warn(error.what(), {.peer = error.peer(), .step = error.step()});
    this->metrics.CountUsageReport("lost");
    return core::UsageReportUnanswered{};
  }
}

}  // namespace carawayvalve::entry
