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
constexpr char kDutyName[] = "duties";
constexpr int kOk = 200;

// A call to the platform that takes longer is lost; a grant must last at least
// so long when one is sent.
constexpr base::Milliseconds kCloudTimeout(1200);
// What the lease's term is above the time that two holders' calls are apart.
constexpr base::Milliseconds kTermExtra(700);
// How much longer each further candidate waits before it takes a free lease.
constexpr base::Milliseconds kTakeoverStep(300);
// Idle connections to the platform; a report goes out every few seconds.
constexpr std::chrono::seconds kKeepTime(8);
// Counts of gateways reach the holder within this time of a window's end.
constexpr base::Milliseconds kSettle(3000);
// A process that has just started gets the others' counts within this time.
constexpr base::Milliseconds kJoinTime(2500);
// Windows that are kept in memory after they were reported.
constexpr int64_t kWindowsKept = 4;

core::LeaseOptions ToTerms(const GatewaySettings& settings) {
  core::LeaseOptions terms;
  terms.term = settings.duties.lease + kTermExtra;
  terms.renew_interval = settings.duties.lease / 3;
  terms.poll_interval = settings.duties.lease / 2;
  terms.call_timeout = settings.store.call_timeout;
  return terms;
}

core::WindowReporter::Settings ToReports(const GatewaySettings& settings) {
  core::WindowReporter::Settings reports;
  reports.window_length = settings.duties.usage_window;
  reports.seal_delay = kSettle;
  reports.max_report_delay = settings.duties.usage_late;
  return reports;
}

nlohmann::json PrintCounts(const core::AccountCounts& counts) {
  nlohmann::json printed = nlohmann::json::object();
  for (const auto& [account, count] : counts) {
    printed[account.value] = count;
  }
  return printed;
}

// Throws nlohmann::json::exception when the value is no seal.
core::AccountCounts ParseCounts(const nlohmann::json& value) {
  core::AccountCounts counts;
  for (const auto& [account, count] : value.at("counts").items()) {
    counts[{account}] = count.get<int64_t>();
  }
  return counts;
}

}  // namespace

DutyHolder::DutyHolder(Context& context, platform::ObjectClient& objects)
    : context(context),
      objects(objects),
      started(base::Now()),
      lease(ToTerms(context.state.settings), context.state.boot),
      reports(ToReports(context.state.settings)),
      cloud(context.loop, kKeepTime),
      roles(context) {}

void DutyHolder::Tick(const std::vector<base::HostId>& live) {
  const GatewayState& state = this->context.state;
  const auto delay = core::TakeoverDelay(kDutyName, state.settings.host, live,
                                         kTakeoverStep);
  this->StepLease(core::LeaseTick{state.stopping ? std::nullopt : delay});
  const base::Instant now = base::Now();
  this->NoteHolding(now);
  const auto grant = this->lease.Grant(now);
  if (!grant.has_value()) {
    return;
  }
  this->roles.Tick(*grant);
  if (now - this->started < kJoinTime) {
    return;
  }
  const base::Duration wall_clock = state.wall_clock.At(now);
  for (const core::ReportAction& action :
       this->reports.Tick(state.usage, wall_clock, now)) {
    std::visit([&](const auto& kind) { this->Do(kind); }, action);
  }
}

void DutyHolder::NoteHolding(base::Instant now) {
  const bool holds = this->lease.Holds(now);
  if (holds == this->was_holder) {
    return;
  }
  this->was_holder = holds;
  if (!holds) {
    // Nothing that waits in a connection may arrive after a successor's calls.
    this->report_calls.clear();
    this->cloud.CloseAll();
    this->roles.Drop();
  }
  this->context.journal.Write(base::LogLevel::kInfo,
                              holds ? "duties_taken" : "duties_lost",
                              {{"epoch", this->lease.epoch()}});
}

void DutyHolder::StepLease(const core::LeaseEvent& event) {
  for (const core::LeaseAction& action : this->lease.Step(event, base::Now())) {
    std::visit([&](const auto& kind) { this->Do(kind); }, action);
  }
}

void DutyHolder::Do(const core::ReadLease& action) {
  this->lease_call = this->objects.Read(
      kLeaseKind, kLeaseName,
      [this, call = action.call](const platform::ReadResult& result) {
        this->OnLeaseRead(call, result);
      });
}

void DutyHolder::OnLeaseRead(int64_t call, const platform::ReadResult& result) {
  if (std::holds_alternative<platform::ObjectNotFound>(result)) {
    this->StepLease(core::LeaseReadAnswer{call, std::nullopt, 0});
    return;
  }
  const auto* object = std::get_if<platform::StoredObject>(&result);
  if (object == nullptr) {
    this->StepLease(core::LeaseStoreError{call});
    return;
  }
  try {
    this->StepLease(core::LeaseReadAnswer{
        call, core::ParseLeaseRecord(object->value->dump()), object->revision});
  } catch (const base::Error& error) {
    this->context.journal.Write(base::LogLevel::kError, "lease_unreadable",
                                {{"reason", error.reason()}});
    this->StepLease(core::LeaseStoreError{call});
  }
}

void DutyHolder::Do(const core::WriteLease& action) {
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
    this->StepLease(core::LeaseWriteDone{call, object->revision});
  } else if (std::holds_alternative<platform::WriteConflict>(result) ||
             std::holds_alternative<platform::ObjectNotFound>(result)) {
    this->StepLease(core::LeaseWriteConflict{call});
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
  this->NoteHolding(base::Now());
}

void DutyHolder::StepReports(const core::ReportEvent& event) {
  this->reports.Step(event, base::Now());
}

void DutyHolder::Do(const core::StoreSeal& action) {
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

void DutyHolder::Do(const core::SendReport& action) {
  const base::Instant now = base::Now();
  const auto grant = this->lease.Grant(now);
  // The call must have ended, or be cut off, before a successor may send one.
  if (!grant.has_value() || grant->valid_until - now < kCloudTimeout) {
    this->StepReports(core::ReportFailed{action.window});
    return;
  }
  const GatewayState& state = this->context.state;
  // Written before the answer: a process that is killed leaves no other trace.
  this->context.journal.Write(
      base::LogLevel::kInfo, "usage_report_sent",
      {{"window", action.window},
       {"epoch", grant->epoch},
       {"lease_left_ms", base::ToMilliseconds(grant->valid_until - now)}});
  this->report_calls[action.window] = TimedCall::Start(
      this->context.loop, this->cloud, state.settings.duties.address,
      platform::EncodeUsageReport({state.settings.host, grant->epoch},
                                  action.window, action.counts),
      kCloudTimeout,
      [this, window = action.window](const TimedCall::Result& result) {
        this->OnReported(window, result);
      });
}

void DutyHolder::OnReported(int64_t window, const TimedCall::Result& result) {
  this->context.journal.Write(base::LogLevel::kInfo, "usage_report",
                              {{"window", window},
                               {"status", result.status},
                               {"epoch", this->lease.epoch()}});
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
