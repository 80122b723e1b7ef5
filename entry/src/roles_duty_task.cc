#include "roles_duty_task.h"

#include "Agent.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/config/engine_role.h"
#include "carawayvalve/core/duty.h"
#include "carawayvalve/wire/channel.h"

namespace carawayvalve::entry {

namespace {

// Longer than the time that an agent allows its engine to carry out an order.
constexpr base::Milliseconds kOrderTimeout{70000};

wire::gen::Order ToWire(const core::StampedOrder& stamped) {
  wire::gen::Order order;
  order.duty = stamped.duty;
  order.epoch = stamped.token.epoch;
  order.sequence = stamped.token.sequence;
  order.agent_boot = stamped.agent_boot.value;
  order.stamp_us = std::chrono::duration_cast<std::chrono::microseconds>(
                       stamped.stamp.time_since_epoch())
                       .count();
  order.term_ms = base::ToMilliseconds(stamped.term);
  if (stamped.change.role) {
    order.role = config::EngineRoleName(*stamped.change.role);
  }
  order.model = stamped.change.model.value;
  order.version = stamped.change.version;
  return order;
}

core::OrderResult FromWire(wire::gen::OrderOutcome::type outcome) {
  switch (outcome) {
    case wire::gen::OrderOutcome::REFUSED:
      return {core::OrderOutcome::kRefused, {}};
    case wire::gen::OrderOutcome::DRAINING:
      return {core::OrderOutcome::kRefused, core::OrderRefusal::kNotIdle};
    case wire::gen::OrderOutcome::DONE:
      return {core::OrderOutcome::kDone, {}};
    case wire::gen::OrderOutcome::ENGINE_REFUSED:
      return {core::OrderOutcome::kEngineRefused, {}};
    case wire::gen::OrderOutcome::UNKNOWN_EFFECT:
      return {core::OrderOutcome::kUnknown, {}};
  }
  return {core::OrderOutcome::kUnknown, {}};
}

bool IsDraining(const core::OrderResult& result) {
  return result.outcome == core::OrderOutcome::kRefused &&
         result.refusal == core::OrderRefusal::kNotIdle;
}

}  // namespace

RolesDutyTask::RolesDutyTask(const base::ServiceId& service, Fleet& fleet)
    : service(service),
      fleet(fleet),
      log("roles"),
      issuer(core::DutyName(core::RolesDuty{service})) {}

void RolesDutyTask::SetRule(const config::EngineRule& rule) {
  const std::lock_guard lock(this->mutex);
  if (!this->planner || rule != this->rule) {
    this->rule = rule;
    this->planner.emplace(rule);
  }
}

void RolesDutyTask::NoteStatus(const base::BackendServerId& backend_server,
                               const wire::gen::AgentStatus& status) {
  if (status.service_name == this->service.value) {
    this->StepIssuer(core::StampReceived{
        backend_server,
        {status.agent_boot},
        base::Instant(std::chrono::microseconds(status.clock_us))});
  }
}

std::vector<core::IssuerAction> RolesDutyTask::StepIssuer(
    const core::IssuerEvent& event) {
  const std::lock_guard lock(this->mutex);
  return this->issuer.Step(event, base::Now());
}

std::vector<core::EngineState> RolesDutyTask::Engines() const {
  std::vector<core::EngineState> engines;
  for (const BackendSnapshot& backend : this->fleet.Snapshots()) {
    if (!backend.status ||
        backend.status->service_name != this->service.value ||
        backend.host_leaving || backend.status->leaving) {
      continue;
    }
    engines.push_back({backend.backend_server,
                       config::FindEngineRole(backend.status->load.role)
                           .value_or(config::EngineRole::kMixed),
                       backend.status->ready,
                       backend.status->queued + backend.status->running,
                       backend.status->draining});
  }
  return engines;
}

void RolesDutyTask::Run(const DutyRunner::GetGrant& get_grant) {
  this->StepIssuer(core::LeaseGrantUpdated{get_grant()});
  this->StepIssuer(core::IssuerTick{});
  std::optional<core::RoleChange> change;
  {
    const std::lock_guard lock(this->mutex);
    if (this->planner) {
      change = this->planner->Plan(this->Engines(), base::Now());
    }
  }
  if (!change) {
    return;
  }
  core::EngineChange engine_change;
  engine_change.role = change->role;
  for (const core::IssuerAction& action : this->StepIssuer(
           core::IssueOrder{change->backend_server, engine_change})) {
    if (const auto* send = std::get_if<core::SendOrder>(&action)) {
      this->CarryOut(*send);
    }
  }
}

void RolesDutyTask::CarryOut(const core::SendOrder& action) {
  for (const core::IssuerAction& next_action :
       this->StepIssuer(this->SendToAgent(action))) {
    if (const auto* concluded =
            std::get_if<core::OrderConcluded>(&next_action)) {
      this->Conclude(*concluded);
    }
  }
}

void RolesDutyTask::Conclude(const core::OrderConcluded& order) {
  if (IsDraining(order.result)) {
    const std::lock_guard lock(this->mutex);
    this->planner->RecordDraining(order.agent, base::Now());
    return;
  }
  {
    const std::lock_guard lock(this->mutex);
    this->planner->RecordChange(order.agent, base::Now());
  }
  if (order.result.outcome == core::OrderOutcome::kDone) {
    this->log.Info("An engine has changed its role.",
                   {.backend_server = order.agent.value});
  } else {
    this->log.Warn("A role order failed or its outcome is unknown.",
                   {.backend_server = order.agent.value});
  }
}

core::IssuerEvent RolesDutyTask::SendToAgent(
    const core::SendOrder& action) const {
  std::string address;
  bool draining = false;
  for (const BackendSnapshot& backend : this->fleet.Snapshots()) {
    if (backend.backend_server == action.agent) {
      address = backend.address;
      draining = backend.status && backend.status->draining;
    }
  }
  try {
    wire::Channel<wire::gen::AgentClient> channel(address, kOrderTimeout);
    wire::gen::OrderAnswer answer;
    channel.Invoke("order", [&](wire::gen::AgentClient& client) {
      client.send_order(ToWire(action.order));
      // The order is repeated while the engine drains, but logged only once.
      if (!draining) {
        this->log.Info("Sent an order.",
                       {.backend_server = action.agent.value});
      }
      client.recv_order(answer);
    });
    if (answer.outcome == wire::gen::OrderOutcome::REFUSED) {
      this->log.Info("The agent refused an order: " + answer.reason + ".",
                     {.backend_server = action.agent.value});
    }
    return core::OrderAnswered{action.order.token, FromWire(answer.outcome)};
  } catch (const base::Error&) {
    return core::OrderLost{action.order.token};
  }
}

}  // namespace carawayvalve::entry
