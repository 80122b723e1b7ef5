#include "carawayvalve/core/order_gate.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/core/lease.h"
#include "stored_json.h"

namespace carawayvalve::core {

namespace {

using nlohmann::json;

constexpr const char* kStep = "read order mark";
constexpr const char* kPeer = "Object API";
using Actions = std::vector<GateAction>;

// The sequence numbers of one epoch fit into this many bits.
constexpr int kSequenceBits = 32;

OrderResult Refused(OrderRefusal refusal) {
  return {OrderOutcome::kRefused, refusal};
}

}  // namespace

int64_t FencingNumber(const OrderToken& token) {
  return (token.epoch << kSequenceBits) + token.sequence;
}

base::Instant OrderExpiry(const StampedOrder& order) {
  return order.stamp + order.term - DriftMargin(order.term);
}

std::string OrderRefusalText(OrderRefusal refusal) {
  switch (refusal) {
    case OrderRefusal::kWrongDuty:
      return "the order is of another duty";
    case OrderRefusal::kWrongBoot:
      return "the stamp is of another run of the agent";
    case OrderRefusal::kExpired:
      return "the order's term has passed";
    case OrderRefusal::kStaleToken:
      return "a later order has been seen";
    case OrderRefusal::kBusy:
      return "another order may be running";
    case OrderRefusal::kMarkUnknown:
      return "the last order before the restart isn't known yet";
    case OrderRefusal::kMarkNotSaved:
      return "the order's token could not be saved";
    case OrderRefusal::kNotIdle:
      return "requests run at the engine";
  }
  return "unknown";
}

std::string PrintOrderHighWaterMark(const OrderHighWaterMark& mark) {
  const json value = {{"epoch", mark.token.epoch},
                      {"sequence", mark.token.sequence},
                      {"agent_boot", mark.agent_boot.value},
                      {"open", mark.open}};
  return value.dump();
}

OrderHighWaterMark ParseOrderHighWaterMark(const std::string& text) {
  try {
    const json value = ParseStoredJson(kStep, kPeer, text);
    OrderHighWaterMark mark;
    mark.token.epoch = value.at("epoch").get<int64_t>();
    mark.token.sequence = value.at("sequence").get<int64_t>();
    mark.agent_boot.value = value.at("agent_boot").get<std::string>();
    mark.open = value.at("open").get<bool>();
    return mark;
  } catch (const json::exception& error) {
    throw base::Error(kStep, kPeer, error.what());
  }
}

OrderGate::OrderGate(const OrderGateOptions& options,
                     std::string duty,
                     const base::BootId& boot)
    : options(options), duty(std::move(duty)), boot(boot) {}

Actions OrderGate::Step(const GateEvent& event, base::Instant now) {
  return std::visit([&](const auto& kind) { return this->On(kind, now); },
                    event);
}

bool OrderGate::busy(base::Instant now) const {
  return this->state == State::kSaving || this->state == State::kRunning ||
         this->state == State::kClosing || now < this->settled_at;
}

bool OrderGate::holds_requests(base::Instant now) const {
  return this->state == State::kSaving || this->state == State::kRunning ||
         this->draining(now);
}

Actions OrderGate::On(const GateTick&, base::Instant now) {
  if (this->call_in_flight &&
      now - this->call_sent >= this->options.call_timeout) {
    return this->On(MarkCallFailed{*this->call_in_flight}, now);
  }
  if (this->state == State::kRunning &&
      now - this->run_started_at >= this->options.max_order_duration) {
    return this->On(
        EngineAnswered{this->accepted.order.token, OrderOutcome::kUnknown},
        now);
  }
  if (this->state != State::kMarkUnknown || this->call_in_flight ||
      now < this->retry_at) {
    return {};
  }
  this->last_call += 1;
  this->call_in_flight = this->last_call;
  this->call_sent = now;
  return {ReadMark{this->last_call}};
}

Actions OrderGate::On(const OrderArrived& event, base::Instant now) {
  const std::optional<OrderRefusal> refusal = this->Check(event, now);
  if (refusal) {
    if (*refusal == OrderRefusal::kBusy ||
        *refusal == OrderRefusal::kMarkUnknown ||
        *refusal == OrderRefusal::kNotIdle) {
      // The token counts as seen although the order isn't run: neither this
      // order nor an older one may run later.
      this->highest_token = std::max(this->highest_token, event.order.token);
    }
    if (*refusal == OrderRefusal::kNotIdle) {
      this->drain_until = now + this->options.drain_hold;
    }
    return {AnswerOrder{event.call, Refused(*refusal)}};
  }
  this->highest_token = event.order.token;
  this->accepted = event;
  this->state = State::kSaving;
  return this->Write(true, now);
}

std::optional<OrderRefusal> OrderGate::Check(const OrderArrived& event,
                                             base::Instant now) const {
  const StampedOrder& order = event.order;
  if (order.duty != this->duty) {
    return OrderRefusal::kWrongDuty;
  }
  if (order.agent_boot != this->boot || order.stamp > now) {
    return OrderRefusal::kWrongBoot;
  }
  if (now >= OrderExpiry(order)) {
    return OrderRefusal::kExpired;
  }
  if (this->state == State::kMarkUnknown) {
    return OrderRefusal::kMarkUnknown;
  }
  if (order.token <= this->highest_token) {
    return OrderRefusal::kStaleToken;
  }
  if (this->busy(now)) {
    return OrderRefusal::kBusy;
  }
  if (!event.engine_idle) {
    return OrderRefusal::kNotIdle;
  }
  return std::nullopt;
}

Actions OrderGate::On(const MarkReadAnswer& event, base::Instant now) {
  if (!this->EndCall(event.call) || this->state != State::kMarkUnknown) {
    return {};
  }
  const OrderHighWaterMark mark = event.mark.value_or(OrderHighWaterMark());
  this->mark_version = event.version;
  this->highest_token = std::max(this->highest_token, mark.token);
  this->state = State::kIdle;
  if (mark.open && mark.agent_boot != this->boot) {
    // An order of an earlier run may still be running at the engine.
    this->settled_at = now + this->options.max_order_duration;
    this->role_is_known = false;
  }
  return {};
}

Actions OrderGate::On(const MarkWriteDone& event, base::Instant now) {
  if (!this->EndCall(event.call)) {
    return {};
  }
  this->mark_version = event.version;
  if (this->state == State::kClosing) {
    this->state = State::kIdle;
    return {};
  }
  if (this->state != State::kSaving) {
    return {};
  }
  const StampedOrder& order = this->accepted.order;
  if (order.token < this->highest_token) {
    return this->FinishOrder(Refused(OrderRefusal::kStaleToken), now);
  }
  if (now >= OrderExpiry(order)) {
    return this->FinishOrder(Refused(OrderRefusal::kExpired), now);
  }
  this->state = State::kRunning;
  this->engine_restarted_in_run = false;
  this->run_started_at = now;
  return {
      RunOrder{order.token, order.change, this->options.max_order_duration}};
}

Actions OrderGate::On(const MarkCallFailed& event, base::Instant now) {
  if (!this->EndCall(event.call)) {
    return {};
  }
  const bool saving = this->state == State::kSaving;
  this->state = State::kMarkUnknown;
  this->retry_at = now + this->options.retry_interval;
  if (!saving) {
    return {};
  }
  return {
      AnswerOrder{this->accepted.call, Refused(OrderRefusal::kMarkNotSaved)}};
}

Actions OrderGate::On(const EngineAnswered& event, base::Instant now) {
  if (this->state != State::kRunning ||
      event.token != this->accepted.order.token) {
    return {};
  }
  if (this->engine_restarted_in_run) {
    // The restart ended the order and discarded any change that it had made.
    this->role_is_known = false;
    return this->FinishOrder({OrderOutcome::kUnknown, {}}, now);
  }
  if (event.outcome == OrderOutcome::kUnknown) {
    this->role_is_known = false;
    this->settled_at = this->run_started_at + this->options.max_order_duration;
  } else if (event.outcome == OrderOutcome::kDone) {
    this->role_is_known = true;
  }
  return this->FinishOrder({event.outcome, {}}, now);
}

Actions OrderGate::On(const EngineRestarted&, base::Instant now) {
  // A running order ends only when its call to the engine does.
  this->engine_restarted_in_run = this->state == State::kRunning;
  this->settled_at = std::min(this->settled_at, now);
  return {};
}

bool OrderGate::EndCall(int64_t call) {
  if (this->call_in_flight != call) {
    return false;
  }
  this->call_in_flight.reset();
  return true;
}

Actions OrderGate::Write(bool open, base::Instant now) {
  this->last_call += 1;
  this->call_in_flight = this->last_call;
  this->call_sent = now;
  const OrderHighWaterMark mark{this->accepted.order.token, this->boot, open};
  return {WriteMark{this->last_call, mark, this->mark_version}};
}

Actions OrderGate::FinishOrder(const OrderResult& result, base::Instant now) {
  this->drain_until = now;
  Actions actions = {AnswerOrder{this->accepted.call, result}};
  if (now < this->settled_at) {
    // The mark stays open, so that a restarted agent waits as well.
    this->state = State::kIdle;
    return actions;
  }
  this->state = State::kClosing;
  const Actions write = this->Write(false, now);
  actions.insert(actions.end(), write.begin(), write.end());
  return actions;
}

}  // namespace carawayvalve::core
