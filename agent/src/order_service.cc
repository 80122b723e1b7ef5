#include "order_service.h"

#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/config/engine_role.h"
#include "carawayvalve/core/duty.h"
#include "carawayvalve/systems/engine.h"

namespace carawayvalve::agent {

namespace {

constexpr char kMarkKind[] = "order-mark";
constexpr base::Milliseconds kTickInterval{200};

}  // namespace

// Performs one action of the gate, on the gate's thread.
struct OrderService::Performer {
  OrderService& service;

  void operator()(const core::ReadMark& action) const {
    this->service.StepGate(this->service.ReadMark(action));
  }

  void operator()(const core::WriteMark& action) const {
    this->service.StepGate(this->service.WriteMark(action));
  }

  void operator()(const core::RunOrder& action) const {
    const std::lock_guard lock(this->service.mutex);
    this->service.pending_runs.push_back(action);
    this->service.changed.notify_all();
  }

  void operator()(const core::AnswerOrder& action) const {
    const std::lock_guard lock(this->service.mutex);
    const auto found = this->service.pending_results.find(action.call);
    if (found != this->service.pending_results.end()) {
      found->second.set_value(action.result);
      this->service.pending_results.erase(found);
    }
  }
};

OrderService::OrderService(const AgentSettings& settings,
                           const base::BootId& boot,
                           RequestControl request_control)
    : settings(settings),
      store(settings.object_api_address),
      request_control(std::move(request_control)),
      log("orders"),
      gate(core::OrderGateOptions(),
           core::DutyName(core::RolesDuty{settings.service}),
           boot) {
  this->gate_thread = std::thread([this] { this->RunGate(); });
  this->engine_thread = std::thread([this] { this->RunEngine(); });
}

OrderService::~OrderService() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  this->gate_thread.join();
  this->engine_thread.join();
}

core::OrderResult OrderService::Order(const core::StampedOrder& order) {
  std::future<core::OrderResult> result;
  {
    const std::lock_guard lock(this->mutex);
    const int64_t call = ++this->last_call;
    result = this->pending_results[call].get_future();
    this->events.emplace_back(core::OrderArrived{call, order});
    this->changed.notify_all();
  }
  try {
    return result.get();
  } catch (const std::future_error&) {
    // The agent is stopping and the order hasn't ended.
    return {core::OrderOutcome::kUnknown, core::OrderRefusal::kBusy};
  }
}

void OrderService::NoteEngineRestart() {
  this->Post(core::EngineRestarted{});
}

core::OrderToken OrderService::highest() const {
  const std::lock_guard lock(this->mutex);
  return this->gate.highest();
}

bool OrderService::role_known() const {
  const std::lock_guard lock(this->mutex);
  return this->gate.role_known();
}

bool OrderService::draining() const {
  const std::lock_guard lock(this->mutex);
  return this->gate.draining(base::Now());
}

void OrderService::Post(const core::GateEvent& event) {
  const std::lock_guard lock(this->mutex);
  this->events.push_back(event);
  this->changed.notify_all();
}

void OrderService::RunGate() {
  for (;;) {
    core::GateEvent event = core::GateTick{};
    {
      std::unique_lock lock(this->mutex);
      this->changed.wait_for(lock, kTickInterval, [&] {
        return this->stopping || !this->events.empty();
      });
      if (this->stopping) {
        this->pending_results.clear();
        return;
      }
      if (!this->events.empty()) {
        event = this->events.front();
        this->events.pop_front();
      }
    }
    this->StepGate(event);
  }
}

void OrderService::StepGate(core::GateEvent event) {
  if (auto* arrived = std::get_if<core::OrderArrived>(&event)) {
    arrived->engine_idle = this->request_control.idle();
  }
  std::vector<core::GateAction> actions;
  bool hold = false;
  {
    const std::lock_guard lock(this->mutex);
    const base::Instant now = base::Now();
    actions = this->gate.Step(event, now);
    hold = this->gate.holds_requests(now);
  }
  this->UpdateHold(hold);
  for (const core::GateAction& action : actions) {
    std::visit(Performer{*this}, action);
  }
}

void OrderService::UpdateHold(bool hold) {
  if (hold != this->holding) {
    this->holding = hold;
    this->request_control.set_hold(hold);
  }
}

void OrderService::RunEngine() {
  for (;;) {
    core::RunOrder run;
    {
      std::unique_lock lock(this->mutex);
      this->changed.wait(
          lock, [&] { return this->stopping || !this->pending_runs.empty(); });
      if (this->pending_runs.empty()) {
        return;
      }
      run = this->pending_runs.front();
      this->pending_runs.pop_front();
    }
    this->Post(this->RunOrder(run));
  }
}

core::GateEvent OrderService::ReadMark(const core::ReadMark& action) const {
  try {
    core::MarkReadAnswer answer;
    answer.call = action.call;
    const auto object =
        this->store.Get(kMarkKind, this->settings.backend_server.value);
    if (object) {
      answer.mark = core::ParseOrderHighWaterMark(object->value);
      answer.version = object->version;
    }
    return answer;
  } catch (const base::Error&) {
    return core::MarkCallFailed{action.call};
  }
}

core::GateEvent OrderService::WriteMark(const core::WriteMark& action) const {
  try {
    const systems::UpdateResult result = this->store.Put(
        kMarkKind, this->settings.backend_server.value,
        core::PrintOrderHighWaterMark(action.mark), action.if_version);
    if (result.done) {
      return core::MarkWriteDone{action.call, result.version};
    }
  } catch (const base::Error& error) {
    this->log.Warn("The order high-water mark was not saved.",
                   {.peer = error.peer(), .step = error.step()});
  }
  return core::MarkCallFailed{action.call};
}

core::GateEvent OrderService::RunOrder(const core::RunOrder& action) const {
  systems::EngineOrder order;
  order.fencing_token = core::FencingNumber(action.token);
  if (action.change.role) {
    order.role = config::EngineRoleName(*action.change.role);
  }
  order.model = action.change.model.value;
  order.version = action.change.version;
  const systems::Engine engine(this->settings.backend_address);
  core::EngineAnswered answered;
  answered.token = action.token;
  if (!this->request_control.idle()) {
    // A request was started after the gate found the engine idle and before
    // requests were held.
    answered.outcome = core::OrderOutcome::kEngineRefused;
    return answered;
  }
  try {
    const auto timeout =
        std::chrono::duration_cast<base::Milliseconds>(action.timeout);
    answered.outcome = engine.Order(order, timeout)
                           ? core::OrderOutcome::kDone
                           : core::OrderOutcome::kEngineRefused;
  } catch (const base::Error& error) {
    this->log.Warn(
        "The engine gave no answer to an order; its effect is unknown.",
        {.peer = error.peer(), .step = error.step()});
    answered.outcome = core::OrderOutcome::kUnknown;
  }
  return answered;
}

}  // namespace carawayvalve::agent
