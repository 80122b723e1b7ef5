#include "role_controller.h"

#include <utility>

#include "carawayvalve/platform/duty_calls.h"

namespace carawayvalve::gateway {

namespace {

// An order that isn't answered within this time is treated as lost. It is sent
// only while the lease is valid for at least as long.
constexpr base::Milliseconds kOrderTimeout(800);
// Engines that start together register within this time of each other.
constexpr base::Milliseconds kRegistrationTime(1200);
// While an engine changes its role, it declines requests that haven't begun.
// The change takes three seconds (platform documentation) after its running
// requests have ended; the registry shows when it is complete.
constexpr std::chrono::seconds kRoleChangeTime(6);
// The planning of a large fleet takes a while; its roles change slowly anyway.
constexpr base::Milliseconds kPlanIntervalPerEngine(1);
constexpr int kAccepted = 202;
// Short, since connections for orders are rarely used twice.
constexpr std::chrono::seconds kKeepAlive(1);

}  // namespace

RoleController::RoleController(Context& context)
    : context(context),
      planner(core::RoleSharePlanner::Settings{}),
      engines(context.loop, kKeepAlive) {
  this->engines.SetBudget(context.answers);
}

bool RoleController::UnderLoad() const {
  const base::Instant now = base::Now();
  for (const auto& [id, entry] : this->context.state.directory.entries()) {
    if (this->context.state.load.LoadOf(id, now).requests > 0) {
      return true;
    }
  }
  return false;
}

void RoleController::Tick(const core::LeaseGrant& lease_grant) {
  this->grant = lease_grant;
  const auto& table = this->context.state.table;
  if (table == nullptr) {
    return;
  }
  const base::Instant now = base::Now();
  if (now < this->next_plan) {
    return;
  }
  const auto engine_count =
      static_cast<int64_t>(this->context.state.directory.entries().size());
  this->next_plan = now + kPlanIntervalPerEngine * engine_count;
  for (const config::ServingService& service : table->serving_plan().services) {
    if (!service.engine.has_value()) {
      continue;
    }
    std::vector<core::BackendEntry> service_engines;
    for (const auto& [id, entry] : this->context.state.directory.entries()) {
      if (entry.service == service.name) {
        service_engines.push_back(entry);
      }
    }
    if (!this->HasSettled(service_engines, now)) {
      continue;
    }
    for (const core::RoleChange& change :
         this->planner.Plan(service_engines, this->UnderLoad(), now,
                            [&](const base::BackendServerId& id) {
                              return this->context.state.load.LoadOf(id, now);
                            })) {
      this->planner.NoteOrdered(change, now);
      this->RequestReport(change);
    }
  }
}

bool RoleController::HasSettled(
    const std::vector<core::BackendEntry>& service_engines,
    base::Instant now) {
  if (service_engines.empty()) {
    return false;
  }
  EngineCount& last = this->engine_counts[service_engines.front().service];
  if (last.count != service_engines.size()) {
    last = {service_engines.size(), now};
  }
  return now - last.since >= kRegistrationTime;
}

void RoleController::CancelAll() {
  this->grant.reset();
  this->calls.clear();
  this->engines.CloseAll();
}

// Requests the engine's report first, for the number of orders that it has
// accepted.
void RoleController::RequestReport(const core::RoleChange& change) {
  const core::BackendEntry* entry =
      this->context.state.directory.Find(change.backend_server);
  const GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  if (entry == nullptr ||
      state.health.AskedToWait(change.backend_server, now) ||
      !state.rate_limits.MaySend(entry->id, entry->started_ms, now)) {
    return;
  }
  this->context.NoteBackendRequest(change.backend_server, "report");
  this->calls[change.backend_server] = TimedCall::Start(
      this->context.loop, this->engines, entry->address,
      platform::EncodeEngineReportRequest(change.backend_server), kOrderTimeout,
      [this, change, sent = base::Now()](const TimedCall::Result& result) {
        this->NoteHead(change, "report", result, sent);
        this->OnReport(change, result);
      });
}

void RoleController::OnReport(const core::RoleChange& change,
                              const TimedCall::Result& result) {
  const auto report = platform::DecodeEngineReport(result.body);
  if (!report.has_value() || report->order_in_progress) {
    this->context.journal.Write(
        base::LogLevel::kWarning, "role_order_skipped",
        {{"backend", change.backend_server.value},
         {"status", result.status},
         {"busy", report.has_value() && report->order_in_progress}});
    return;
  }
  this->SendOrder(change, report->accepted_orders);
}

void RoleController::NoteHead(const core::RoleChange& change,
                              const char* kind,
                              const TimedCall::Result& result,
                              base::Instant sent) {
  const core::BackendEntry* entry =
      this->context.state.directory.Find(change.backend_server);
  if (entry != nullptr) {
    NoteSkippedAnswers(this->context, *entry, kind, result);
    this->context.NoteBackendHead(*entry, {result.status, result.fields}, sent);
  }
}

void RoleController::SendOrder(const core::RoleChange& change,
                               int64_t accepted_orders) {
  const core::BackendEntry* entry =
      this->context.state.directory.Find(change.backend_server);
  const base::Instant now = base::Now();
  if (entry == nullptr || entry->draining || !this->grant.has_value() ||
      this->grant->valid_until - now < kOrderTimeout) {
    return;
  }
  const platform::FencingToken token = {this->context.state.settings.host,
                                        this->grant->epoch};
  this->context.NoteBackendRequest(change.backend_server, "order");
  this->calls[change.backend_server] = TimedCall::Start(
      this->context.loop, this->engines, entry->address,
      platform::EncodeRoleOrder(token, change.backend_server, change.role,
                                accepted_orders),
      kOrderTimeout,
      [this, change, sent = now](const TimedCall::Result& result) {
        this->NoteHead(change, "order", result, sent);
        this->OnOrdered(change, result);
      });
}

void RoleController::OnOrdered(const core::RoleChange& change,
                               const TimedCall::Result& result) {
  if (result.status == kAccepted) {
    GatewayState& state = this->context.state;
    const base::Instant until = base::Now() + kRoleChangeTime;
    state.health.NoteRoleChangeStarted(change.backend_server, until);
    state.changing_roles[change.backend_server] = until;
  }
  this->context.journal.Write(
      base::LogLevel::kInfo, "role_ordered",
      {{"backend", change.backend_server.value},
       {"role",
        change.role == config::EngineRole::kPrefill ? "prefill" : "decode"},
       {"epoch", this->grant.has_value() ? this->grant->epoch : 0},
       {"status", result.status}});
}

}  // namespace carawayvalve::gateway
