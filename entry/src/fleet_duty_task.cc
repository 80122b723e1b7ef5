#include "fleet_duty_task.h"

#include <deque>
#include <thread>

#include "carawayvalve/base/error.h"
#include "carawayvalve/core/duty.h"

namespace carawayvalve::entry {

namespace {

constexpr char kIntentKind[] = "fleet-intent";
// Between two reads of the platform's list of backend servers.
constexpr std::chrono::seconds kPollInterval{1};
// Between two checks for calls that may still take effect.
constexpr base::Milliseconds kPendingCallCheckInterval{50};

systems::FleetOrder ToPlatform(const core::CallPlatform& action) {
  systems::FleetOrder order;
  order.kind = action.order.action == core::FleetAction::kStart
                   ? systems::FleetOrderKind::kStart
                   : systems::FleetOrderKind::kStop;
  order.service = action.order.service;
  order.name = action.order.backend_server;
  order.idempotency_key = action.idempotency_key;
  order.fencing_token = action.token.epoch;
  return order;
}

}  // namespace

FleetDutyTask::FleetDutyTask(const EntrySettings& settings,
                             const base::BootId& self,
                             const systems::ObjectApi& store)
    : data_centre(settings.data_centre),
      duty_name(core::DutyName(core::FleetDuty{settings.data_centre})),
      store(store),
      backend_servers(settings.backend_servers_address),
      log("fleet"),
      issuer({}, this->duty_name, self) {}

void FleetDutyTask::SetServices(const std::vector<config::Service>& services) {
  const std::lock_guard lock(this->mutex);
  this->services = services;
}

void FleetDutyTask::SetDataCentres(
    const std::vector<base::DataCentreId>& data_centres) {
  const std::lock_guard lock(this->mutex);
  this->data_centres = data_centres;
}

std::vector<core::FleetMinimum> FleetDutyTask::Minimums() const {
  const std::lock_guard lock(this->mutex);
  std::vector<core::FleetMinimum> minimums;
  for (const config::Service& service : this->services) {
    minimums.push_back(
        {service.name,
         core::DataCentreShare(service.min_backend_servers, this->data_centres,
                               this->data_centre)});
  }
  return minimums;
}

std::vector<core::ListedServer> FleetDutyTask::ListServers() const {
  std::vector<core::ListedServer> listed;
  for (const systems::BackendServer& server :
       this->backend_servers.List(this->data_centre)) {
    listed.push_back({server.name, server.service,
                      server.state != systems::BackendServerState::kStopping});
  }
  return listed;
}

void FleetDutyTask::Run(const DutyRunner::GetGrant& get_grant) {
  this->HandleEvent(core::FleetTick{}, get_grant);
  const base::Instant now = base::Now();
  if (this->issuer.ready(now) && now >= this->next_poll_at) {
    this->next_poll_at = now + kPollInterval;
    const auto order =
        this->planner->Plan(this->Minimums(), this->ListServers(), base::Now());
    if (order) {
      this->HandleEvent(core::PlaceFleetOrder{*order}, get_grant);
    }
  }
  while (!this->issuer.Settled(base::Now())) {
    std::this_thread::sleep_for(kPendingCallCheckInterval);
  }
}

void FleetDutyTask::HandleEvent(const core::FleetEvent& event,
                                const DutyRunner::GetGrant& get_grant) {
  std::deque<core::FleetEvent> events = {event};
  while (!events.empty()) {
    const auto grant = get_grant();
    if (grant && grant->epoch != this->epoch) {
      this->epoch = grant->epoch;
      this->planner.emplace(core::FleetPlannerOptions(), base::Now());
    }
    auto actions =
        this->issuer.Step(core::FleetGrantUpdated{grant}, base::Now());
    const auto event_actions = this->issuer.Step(events.front(), base::Now());
    events.pop_front();
    actions.insert(actions.end(), event_actions.begin(), event_actions.end());
    for (const core::FleetOrderAction& action : actions) {
      const Event answer = std::visit(
          [this](const auto& kind) { return this->Perform(kind); }, action);
      if (answer) {
        events.push_back(*answer);
      }
    }
  }
}

FleetDutyTask::Event FleetDutyTask::Perform(
    const core::ReadIntent& action) const {
  try {
    const auto object = this->store.Get(kIntentKind, this->duty_name);
    core::IntentReadAnswer answer;
    answer.call = action.call;
    if (object) {
      answer.intent = core::ParseFleetIntent(object->value);
      answer.version = object->version;
    }
    return answer;
  } catch (const base::Error& error) {
    this->log.Warn(error.what(), {.peer = error.peer(), .step = error.step()});
    return core::IntentCallFailed{action.call};
  }
}

FleetDutyTask::Event FleetDutyTask::Perform(
    const core::WriteIntent& action) const {
  try {
    const systems::UpdateResult result = this->store.Put(
        kIntentKind, this->duty_name, core::PrintFleetIntent(action.intent),
        action.if_version);
    if (result.done) {
      return core::IntentWriteDone{action.call, result.version};
    }
  } catch (const base::Error& error) {
    this->log.Warn(error.what(), {.peer = error.peer(), .step = error.step()});
  }
  return core::IntentCallFailed{action.call};
}

FleetDutyTask::Event FleetDutyTask::Perform(const core::CallPlatform& action) {
  const systems::FleetOrder order = ToPlatform(action);
  const auto timeout =
      std::chrono::duration_cast<base::Milliseconds>(action.timeout);
  this->log.Info("Ordering a backend server of " + order.service.value + ".");
  // The call must follow this check directly.
  if (!this->issuer.MaySend(action.token, base::Now())) {
    return core::PlatformCallNotSent{action.token};
  }
  try {
    this->last_started =
        this->backend_servers.Send(this->data_centre, order, timeout);
    return core::PlatformAnswered{action.token, true};
  } catch (const base::NotReachedError&) {
    return core::PlatformCallNotSent{action.token};
  } catch (const base::Error&) {
    return core::PlatformCallLost{action.token};
  }
}

FleetDutyTask::Event FleetDutyTask::Perform(
    const core::ReadPlatform& action) const {
  try {
    this->ListServers();
    return core::PlatformRead{action.call};
  } catch (const base::Error& error) {
    // The issuer repeats the read after a delay.
    this->log.Warn(error.what(), {.peer = error.peer(), .step = error.step()});
    return std::nullopt;
  }
}

FleetDutyTask::Event FleetDutyTask::Perform(
    const core::FleetOrderConcluded& action) {
  const std::string& service = action.order.service.value;
  if (action.outcome == core::FleetOutcome::kNotSent) {
    this->log.Warn("An order for " + service + " was not sent.");
  } else if (action.outcome != core::FleetOutcome::kDone) {
    this->log.Warn("The outcome of an order for " + service + " is unknown.");
  }
  if (this->planner) {
    this->planner->RecordOutcome(action.outcome,
                                 {this->last_started, action.order.service},
                                 base::Now());
  }
  return std::nullopt;
}

}  // namespace carawayvalve::entry
