#include "duty_holder.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/core/duty.h"

namespace carawayvalve::gateway {

namespace {

constexpr char kLeaseKind[] = "carawayvalve-leases";
constexpr char kLeaseName[] = "duties";
constexpr char kSealKind[] = "carawayvalve-usage";
constexpr int kOk = 200;

// A call to the platform that isn't answered within this time is treated as
// lost. A call is sent only while the lease grant is valid for at least as
// long.
constexpr base::Milliseconds kPlatformTimeout(1200);
// How much longer the lease's term is than the minimum time between the calls
// of two holders.
constexpr base::Milliseconds kTermMargin(700);
// The additional delay of each further candidate before it takes a free lease.
constexpr base::Milliseconds kTakeoverDelayStep(300);
// How long idle connections to the platform are kept; a report is sent every
// few seconds.
constexpr std::chrono::seconds kKeepAlive(8);
// The counts of all gateways reach the holder within this time after the end
// of a window.
constexpr base::Milliseconds kSealDelay(3000);
// Time for the seal and the report, with a retry of each.
constexpr base::Milliseconds kReportTime(3000);
// A process that has just started receives the counts of its peers within this
// time.
constexpr base::Milliseconds kStartupDelay(2500);
// Further time for reading the counts of gateways that are gone.
constexpr base::Milliseconds kCountsReadTime(3000);
// The number of reported windows whose calls are kept.
constexpr int64_t kWindowsKept = 4;

core::LeaseOptions ToLeaseOptions(const GatewaySettings& settings) {
  core::LeaseOptions options;
  options.term = settings.duties.lease + kTermMargin;
  options.renew_interval = settings.duties.lease / 3;
  options.poll_interval = settings.duties.lease / 2;
  options.call_timeout = settings.store.call_timeout;
  return options;
}

core::WindowReporter::Settings ToReporterSettings(
    const GatewaySettings& settings) {
  core::WindowReporter::Settings reporter_settings;
  reporter_settings.window_length = settings.duties.usage_window;
  reporter_settings.seal_delay = kSealDelay;
  reporter_settings.max_seal_delay = settings.duties.usage_late - kReportTime;
  reporter_settings.max_report_delay = settings.duties.usage_late;
  return reporter_settings;
}

nlohmann::json PrintCounts(const core::AccountCounts& counts) {
  nlohmann::json printed = nlohmann::json::object();
  for (const auto& [account, count] : counts) {
    printed[account.value] = count;
  }
  return printed;
}

// Throws nlohmann::json::exception when the value isn't a seal.
core::AccountCounts ParseCounts(const nlohmann::json& value) {
  core::AccountCounts counts;
  for (const auto& [account, count] : value.at("counts").items()) {
    counts[{account}] = count.get<int64_t>();
  }
  return counts;
}

}  // namespace

DutyHolder::DutyHolder(Context& context,
                       platform::ObjectClient& objects,
                       RecentStore& recent)
    : context(context),
      objects(objects),
      recent(recent),
      started(base::Now()),
      lease(ToLeaseOptions(context.state.settings), context.state.boot),
      reports(ToReporterSettings(context.state.settings)),
      platform_client(context.loop, kKeepAlive),
      roles(context) {
  this->platform_client.SetBudget(context.answers);
}

void DutyHolder::Tick(const std::vector<base::HostId>& live) {
  const GatewayState& state = this->context.state;
  const auto delay = core::TakeoverDelay(kDutyName, state.settings.host, live,
                                         kTakeoverDelayStep);
  this->StepLease(core::LeaseTick{state.stop.begun() ? std::nullopt : delay});
  const base::Instant now = base::Now();
  this->UpdateHolding(now);
  const auto grant = this->lease.Grant(now);
  if (!grant.has_value()) {
    return;
  }
  this->roles.Tick(*grant);
  if (!this->HasStoredCounts(now) || now - this->started < kStartupDelay ||
      !this->KnowsSeals()) {
    return;
  }
  const base::Duration wall_clock = state.wall_clock.At(now);
  std::vector<base::Instant> heard;
  heard.reserve(state.peers_heard.size());
  for (const auto& [host, at] : state.peers_heard) {
    heard.push_back(at);
  }
  for (const core::ReportAction& action :
       this->reports.Tick(state.usage, wall_clock, now, heard)) {
    std::visit([&](const auto& kind) { this->Perform(kind); }, action);
  }
}

void DutyHolder::NoteStoreEra(int64_t era) {
  this->era_known_at = base::Now();
  this->StepLease(core::StoreEraKnown{era});
  this->UpdateHolding(base::Now());
}

bool DutyHolder::KnowsSeals() {
  const GatewayState& state = this->context.state;
  const int64_t era = state.store_era;
  if (this->sealing_era == era) {
    return true;
  }
  // The first holder of an era tells its successors, which may have started
  // later, when it began.
  if (this->mark_call == nullptr) {
    const base::Duration known_since = state.wall_clock.At(this->era_known_at);
    this->mark_call = this->objects.Create(
        kSealKind, "era-" + std::to_string(era),
        {{"known_since_ms", base::ToMilliseconds(known_since)}},
        [this, era, known_since](const platform::WriteResult& result) {
          this->OnEraMarked(era, known_since, result);
        });
  }
  return false;
}

void DutyHolder::OnEraMarked(int64_t era,
                             base::Duration known_since,
                             const platform::WriteResult& result) {
  this->mark_call.reset();
  if (this->context.state.store_era != era) {
    return;
  }
  const auto* conflict = std::get_if<platform::WriteConflict>(&result);
  if (conflict != nullptr && conflict->present.has_value()) {
    try {
      known_since = base::Milliseconds(
          conflict->present->value->at("known_since_ms").get<int64_t>());
    } catch (const nlohmann::json::exception& error) {
      this->context.journal.Write(base::LogLevel::kError, "era_unreadable",
                                  {{"era", era}, {"reason", error.what()}});
    }
  } else if (!std::holds_alternative<platform::StoredObject>(result)) {
    return;
  }
  this->sealing_era = era;
  this->reports.SetSealsKeptSince(known_since);
}

bool DutyHolder::HasStoredCounts(base::Instant now) {
  const base::Duration age = now - this->started;
  const auto& duties = this->context.state.settings.duties;
  // A process that is older was told the counts of all windows that are open.
  const bool needs_counts = !this->has_read_counts &&
                            age < duties.usage_window + duties.usage_late &&
                            age < kStartupDelay + kCountsReadTime;
  if (needs_counts && !this->reads_counts) {
    this->reads_counts = true;
    this->recent.Read([this](bool is_complete) {
      this->reads_counts = false;
      this->has_read_counts = is_complete;
    });
  }
  return !needs_counts || this->has_read_counts;
}

void DutyHolder::UpdateHolding(base::Instant now) {
  const bool holds = this->lease.Holds(now);
  if (holds == this->was_holder) {
    return;
  }
  this->was_holder = holds;
  this->context.state.reports_usage = holds;
  if (!holds) {
    // Calls still queued in a connection must not arrive after the calls of the
    // next holder.
    this->report_calls.clear();
    this->platform_client.CloseAll();
    this->roles.CancelAll();
  }
  this->context.journal.Write(base::LogLevel::kInfo,
                              holds ? "duties_taken" : "duties_lost",
                              {{"epoch", this->lease.epoch()}});
}

void DutyHolder::StepLease(const core::LeaseEvent& event) {
  for (const core::LeaseAction& action : this->lease.Step(event, base::Now())) {
    std::visit([&](const auto& kind) { this->Perform(kind); }, action);
  }
}

void DutyHolder::Perform(const core::ReadLease& action) {
  this->lease_call = this->objects.Read(
      kLeaseKind, kLeaseName,
      [this, call = action.call](const platform::ReadResult& result) {
        this->OnLeaseRead(call, result);
      });
}

void DutyHolder::OnLeaseRead(int64_t call, const platform::ReadResult& result) {
  if (const auto* none = std::get_if<platform::ObjectNotFound>(&result)) {
    this->StepLease(
        core::LeaseReadAnswer{call, std::nullopt, 0, none->era.value_or(0)});
    return;
  }
  const auto* object = std::get_if<platform::StoredObject>(&result);
  if (object == nullptr) {
    this->StepLease(core::LeaseStoreError{call});
    return;
  }
  try {
    this->StepLease(core::LeaseReadAnswer{
        call, core::ParseLeaseRecord(object->value->dump()), object->revision,
        object->era.value_or(0)});
  } catch (const base::Error& error) {
    this->context.journal.Write(base::LogLevel::kError, "lease_unreadable",
                                {{"reason", error.reason()}});
    this->StepLease(core::LeaseStoreError{call});
  }
}

void DutyHolder::Perform(const core::WriteLease& action) {
  const auto value =
      nlohmann::json::parse(core::PrintLeaseRecord(action.record));
  const auto done = [this,
                     call = action.call](const platform::WriteResult& result) {
    this->OnLeaseWritten(call, result);
  };
  this->lease_call =
      action.if_version == 0
          ? this->objects.Create(kLeaseKind, kLeaseName, value, done)
          : this->objects.Replace(kLeaseKind, kLeaseName, action.if_version,
                                  value, done);
}

void DutyHolder::OnLeaseWritten(int64_t call,
                                const platform::WriteResult& result) {
  if (const auto* object = std::get_if<platform::StoredObject>(&result)) {
    this->StepLease(
        core::LeaseWriteDone{call, object->revision, object->era.value_or(0)});
  } else if (const auto* conflict =
                 std::get_if<platform::WriteConflict>(&result)) {
    this->StepLease(core::LeaseWriteConflict{call, conflict->era.value_or(0)});
  } else if (const auto* none =
                 std::get_if<platform::ObjectNotFound>(&result)) {
    this->StepLease(core::LeaseWriteConflict{call, none->era.value_or(0)});
  } else if (std::holds_alternative<platform::StoreRefused>(result)) {
    this->StepLease(core::LeaseStoreError{call});
  } else {
    const bool not_sent = std::get<platform::StoreCallFailed>(result).not_sent;
    if (not_sent) {
      this->StepLease(core::LeaseStoreError{call});
    } else {
      this->StepLease(core::LeaseWriteUncertain{call});
    }
  }
  this->UpdateHolding(base::Now());
}

void DutyHolder::StepReports(const core::ReportEvent& event) {
  this->reports.Step(event, base::Now());
}

void DutyHolder::Perform(const core::StoreSeal& action) {
  this->seal_calls[action.window] =
      this->objects.Create(kSealKind, "window-" + std::to_string(action.window),
                           {{"counts", PrintCounts(action.counts)}},
                           [this, action](const platform::WriteResult& result) {
                             this->OnSealed(action, result);
                           });
}

void DutyHolder::OnSealed(const core::StoreSeal& action,
                          const platform::WriteResult& result) {
  if (std::holds_alternative<platform::StoredObject>(result)) {
    this->StepReports(core::SealKnown{action.window, action.counts});
    return;
  }
  const auto* conflict = std::get_if<platform::WriteConflict>(&result);
  if (conflict != nullptr && conflict->present.has_value()) {
    try {
      this->StepReports(core::SealKnown{
          action.window, ParseCounts(*conflict->present->value)});
      return;
    } catch (const nlohmann::json::exception& error) {
      this->context.journal.Write(
          base::LogLevel::kError, "seal_unreadable",
          {{"window", action.window}, {"reason", error.what()}});
    }
  }
  this->StepReports(core::SealFailed{action.window});
}

void DutyHolder::Perform(const core::SendReport& action) {
  const base::Instant now = base::Now();
  const auto grant = this->lease.Grant(now);
  // The call must have ended or timed out before the next holder may send one.
  if (!grant.has_value() || grant->valid_until - now < kPlatformTimeout) {
    this->StepReports(core::ReportFailed{action.window});
    return;
  }
  const GatewayState& state = this->context.state;
  // Logged before the answer arrives, since a process that is killed meanwhile
  // leaves no other record of the call.
  this->context.journal.Write(
      base::LogLevel::kInfo, "usage_report_sent",
      {{"window", action.window},
       {"requests", core::TotalOf(action.counts)},
       {"epoch", grant->epoch},
       {"lease_left_ms", base::ToMilliseconds(grant->valid_until - now)}});
  this->report_calls[action.window] = TimedCall::Start(
      this->context.loop, this->platform_client, state.settings.duties.address,
      platform::EncodeUsageReport({state.settings.host, grant->epoch},
                                  action.window, action.counts),
      kPlatformTimeout,
      [this, window = action.window](const TimedCall::Result& result) {
        this->OnReported(window, result);
      });
}

void DutyHolder::OnReported(int64_t window, const TimedCall::Result& result) {
  this->context.journal.Write(base::LogLevel::kInfo, "usage_report",
                              {{"window", window},
                               {"status", result.status},
                               {"epoch", this->lease.epoch()}});
  this->objects.counts().Add({"usage report", result.status == kOk ? "answered"
                                              : result.status == 0
                                                  ? "failed"
                                                  : "refused"});
  if (result.status == kOk) {
    this->StepReports(core::ReportAccepted{window});
  } else {
    this->StepReports(core::ReportFailed{window});
  }
  std::erase_if(this->seal_calls, [&](const auto& item) {
    return item.first < window - kWindowsKept;
  });
}

}  // namespace carawayvalve::gateway
