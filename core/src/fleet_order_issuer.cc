#include "carawayvalve/core/fleet_order_issuer.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/base/error.h"
#include "stored_json.h"

namespace carawayvalve::core {

namespace {

using nlohmann::json;

constexpr const char* kStep = "read fleet intent";
constexpr const char* kPeer = "Object API";
using Actions = std::vector<FleetOrderAction>;

constexpr char kStart[] = "start";
constexpr char kStop[] = "stop";

}  // namespace

std::string PrintFleetIntent(const FleetIntent& intent) {
  const bool start = intent.order.action == FleetAction::kStart;
  const json value = {{"epoch", intent.token.epoch},
                      {"sequence", intent.token.sequence},
                      {"holder", intent.holder.value},
                      {"order", start ? kStart : kStop},
                      {"service", intent.order.service.value},
                      {"backend_server", intent.order.backend_server.value},
                      {"open", intent.open}};
  return value.dump();
}

FleetIntent ParseFleetIntent(const std::string& text) {
  try {
    const json value = ParseStoredJson(kStep, kPeer, text);
    FleetIntent intent;
    intent.token.epoch = value.at("epoch").get<int64_t>();
    intent.token.sequence = value.at("sequence").get<int64_t>();
    intent.holder.value = value.at("holder").get<std::string>();
    intent.order.action = value.at("order").get<std::string>() == kStop
                              ? FleetAction::kStop
                              : FleetAction::kStart;
    intent.order.service.value = value.at("service").get<std::string>();
    intent.order.backend_server.value =
        value.at("backend_server").get<std::string>();
    intent.open = value.at("open").get<bool>();
    return intent;
  } catch (const json::exception& error) {
    throw base::Error(kStep, kPeer, error.what());
  }
}

std::string FleetIdempotencyKey(const std::string& duty,
                                const OrderToken& token) {
  return duty + "/" + std::to_string(token.epoch) + "/" +
         std::to_string(token.sequence);
}

FleetOrderIssuer::FleetOrderIssuer(const FleetOrderOptions& options,
                                   std::string duty,
                                   const base::BootId& self)
    : options(options), duty(std::move(duty)), self(self) {}

Actions FleetOrderIssuer::Step(const FleetEvent& event, base::Instant now) {
  Actions actions =
      std::visit([&](const auto& kind) { return this->On(kind, now); }, event);
  const Actions next = this->NextCall(now);
  actions.insert(actions.end(), next.begin(), next.end());
  return actions;
}

bool FleetOrderIssuer::ready(base::Instant now) const {
  return this->state == State::kReady && !this->stopping &&
         this->FitsLease(now);
}

bool FleetOrderIssuer::MaySend(const OrderToken& token,
                               base::Instant now) const {
  return this->IsCalling(token) && this->FitsLease(now) &&
         now <= this->called_at + this->options.max_call_duration;
}

bool FleetOrderIssuer::FitsLease(base::Instant now) const {
  return this->grant &&
         now + this->options.max_call_duration <= this->grant->valid_until;
}

bool FleetOrderIssuer::IsCalling(const OrderToken& token) const {
  return this->state == State::kCalling && token == this->last_token;
}

Actions FleetOrderIssuer::On(const FleetGrantUpdated& event, base::Instant) {
  this->grant = event.grant;
  if (!this->grant) {
    return this->ResetGrantState();
  }
  if (this->grant->epoch == this->last_token.epoch) {
    return {};
  }
  Actions actions = this->ResetGrantState();
  this->last_token = {this->grant->epoch, 0};
  return actions;
}

Actions FleetOrderIssuer::ResetGrantState() {
  const bool may_have_been_sent = this->state == State::kCalling ||
                                  this->state == State::kAwaitingCallEnd ||
                                  this->state == State::kReadingPlatform;
  this->state = State::kIntentUnknown;
  this->call_in_flight.reset();
  return this->Conclude(may_have_been_sent ? FleetOutcome::kUnknown
                                           : FleetOutcome::kNotSent);
}

Actions FleetOrderIssuer::On(const PlaceFleetOrder& event, base::Instant now) {
  if (!this->ready(now)) {
    return {FleetOrderConcluded{event.order, FleetOutcome::kNotSent}};
  }
  this->order = event.order;
  this->last_token.sequence += 1;
  this->state = State::kOpening;
  return {};
}

Actions FleetOrderIssuer::On(const IntentReadAnswer& event, base::Instant now) {
  if (!this->EndCall(event.call)) {
    return {};
  }
  this->intent_version = event.version;
  if (event.intent && event.intent->open) {
    this->state = State::kAwaitingCallEnd;
    this->wait_until = now + this->options.max_call_duration +
                       DriftMargin(this->options.max_call_duration);
  } else {
    this->state = State::kReady;
  }
  return {};
}

Actions FleetOrderIssuer::On(const IntentWriteDone& event, base::Instant) {
  if (!this->EndCall(event.call)) {
    return {};
  }
  this->intent_version = event.version;
  this->state = this->state == State::kOpening ? State::kOpened : State::kReady;
  return {};
}

Actions FleetOrderIssuer::On(const IntentCallFailed& event, base::Instant now) {
  if (!this->EndCall(event.call)) {
    return {};
  }
  // An order whose intent write wasn't confirmed is never sent, whatever the
  // store holds now.
  this->state = State::kIntentUnknown;
  this->retry_at = now + this->options.retry_interval;
  return this->Conclude(FleetOutcome::kNotSent);
}

Actions FleetOrderIssuer::On(const PlatformAnswered& event, base::Instant now) {
  if (!this->IsCalling(event.token)) {
    return {};
  }
  this->settled_at = now;
  this->state = State::kClosing;
  return this->Conclude(event.done ? FleetOutcome::kDone
                                   : FleetOutcome::kRefused);
}

Actions FleetOrderIssuer::On(const PlatformCallLost& event, base::Instant now) {
  if (!this->IsCalling(event.token)) {
    return {};
  }
  this->settled_at = now + this->options.max_call_duration;
  this->wait_until = this->settled_at;
  this->state = State::kAwaitingCallEnd;
  return {};
}

Actions FleetOrderIssuer::On(const PlatformCallNotSent& event,
                             base::Instant now) {
  if (!this->IsCalling(event.token)) {
    return {};
  }
  this->settled_at = now;
  this->state = State::kClosing;
  return this->Conclude(FleetOutcome::kNotSent);
}

Actions FleetOrderIssuer::On(const PlatformRead& event, base::Instant) {
  if (!this->EndCall(event.call)) {
    return {};
  }
  this->state = State::kClosing;
  return this->Conclude(FleetOutcome::kUnknown);
}

Actions FleetOrderIssuer::On(const StopOrdering&, base::Instant) {
  this->stopping = true;
  return {};
}

Actions FleetOrderIssuer::On(const FleetTick&, base::Instant now) {
  if (this->state == State::kCalling && now >= this->settled_at) {
    return this->On(PlatformCallLost{this->last_token}, now);
  }
  const bool timed_out = this->call_in_flight &&
                         now - this->call_sent >= this->options.store_timeout;
  if (!timed_out) {
    return {};
  }
  if (this->state == State::kReadingPlatform) {
    this->call_in_flight.reset();
    return {};
  }
  return this->On(IntentCallFailed{*this->call_in_flight}, now);
}

bool FleetOrderIssuer::EndCall(int64_t call) {
  if (this->call_in_flight != call) {
    return false;
  }
  this->call_in_flight.reset();
  return true;
}

int64_t FleetOrderIssuer::BeginCall(base::Instant now) {
  this->last_call += 1;
  this->call_in_flight = this->last_call;
  this->call_sent = now;
  return this->last_call;
}

Actions FleetOrderIssuer::NextCall(base::Instant now) {
  const bool holds_lease = this->grant && now < this->grant->valid_until;
  if (!holds_lease || this->call_in_flight || now < this->retry_at) {
    return {};
  }
  if (this->state == State::kAwaitingCallEnd && now >= this->wait_until) {
    this->state = State::kReadingPlatform;
  }
  switch (this->state) {
    case State::kIntentUnknown:
      return {ReadIntent{this->BeginCall(now)}};
    case State::kReadingPlatform:
      return {ReadPlatform{this->BeginCall(now)}};
    case State::kOpening:
      return this->Write(true, now);
    case State::kOpened:
      return this->FitsLease(now) ? this->Call(now) : Actions();
    case State::kClosing:
      return this->Write(false, now);
    case State::kAwaitingCallEnd:
    case State::kReady:
    case State::kCalling:
      return {};
  }
  return {};
}

Actions FleetOrderIssuer::Write(bool open, base::Instant now) {
  const FleetIntent intent{this->last_token, this->self,
                           this->order.value_or(FleetOrder()), open};
  return {WriteIntent{this->BeginCall(now), intent, this->intent_version}};
}

Actions FleetOrderIssuer::Call(base::Instant now) {
  this->state = State::kCalling;
  this->called_at = now;
  // MaySend() allows the call to start up to one maximum duration after this.
  this->settled_at = now + 2 * this->options.max_call_duration;
  return {CallPlatform{this->last_token,
                       FleetIdempotencyKey(this->duty, this->last_token),
                       *this->order, this->options.max_call_duration}};
}

Actions FleetOrderIssuer::Conclude(FleetOutcome outcome) {
  if (!this->order) {
    return {};
  }
  const FleetOrder concluded = *this->order;
  this->order.reset();
  return {FleetOrderConcluded{concluded, outcome}};
}

}  // namespace carawayvalve::core
