#include "carawayvalve/core/order_issuer.h"

#include <algorithm>
#include <utility>

namespace carawayvalve::core {

namespace {

using Actions = std::vector<IssuerAction>;

// The stamps kept per agent; more than arrive between two renewals.
constexpr size_t kMaxStamps = 16;

}  // namespace

OrderIssuer::OrderIssuer(std::string duty, base::Duration order_timeout)
    : duty(std::move(duty)), order_timeout(order_timeout) {}

Actions OrderIssuer::Step(const IssuerEvent& event, base::Instant now) {
  std::erase_if(this->expires_at,
                [&](const auto& entry) { return now >= entry.second; });
  return std::visit([&](const auto& kind) { return this->On(kind, now); },
                    event);
}

bool OrderIssuer::Settled(base::Instant now) const {
  return std::all_of(this->expires_at.begin(), this->expires_at.end(),
                     [&](const auto& entry) { return now >= entry.second; });
}

Actions OrderIssuer::On(const LeaseGrantUpdated& event, base::Instant) {
  this->grant = event.grant;
  if (this->grant && this->grant->epoch != this->last_token.epoch) {
    this->last_token = {this->grant->epoch, 0};
  }
  return {};
}

Actions OrderIssuer::On(const StampReceived& event, base::Instant now) {
  Agent& agent = this->agents[event.agent];
  if (agent.boot != event.boot) {
    agent = {event.boot, {}};
  }
  if (!agent.stamps.empty() && agent.stamps.back().stamp >= event.stamp) {
    return {};  // an older status that arrived late
  }
  // Of the stamps received before the last renewal, only the newest is needed.
  while (this->grant && agent.stamps.size() > 1 &&
         agent.stamps[1].received <= this->grant->renewal_sent) {
    agent.stamps.erase(agent.stamps.begin());
  }
  if (agent.stamps.size() >= kMaxStamps) {
    agent.stamps.erase(agent.stamps.begin());
  }
  agent.stamps.push_back({event.stamp, now});
  return {};
}

std::optional<OrderIssuer::Stamp> OrderIssuer::UsableStamp(
    const base::BackendServerId& agent,
    base::Instant now) const {
  const auto found = this->agents.find(agent);
  if (found == this->agents.end()) {
    return std::nullopt;
  }
  std::optional<Stamp> usable;
  for (const Stamp& stamp : found->second.stamps) {
    const bool is_usable = stamp.received <= this->grant->renewal_sent &&
                           now - stamp.received < this->grant->term;
    if (is_usable) {
      usable = stamp;
    }
  }
  return usable;
}

Actions OrderIssuer::On(const IssueOrder& event, base::Instant now) {
  if (this->stopping) {
    return {OrderNotIssued{event.agent, NotIssuedReason::kStopping}};
  }
  if (!this->grant || now >= this->grant->valid_until) {
    return {OrderNotIssued{event.agent, NotIssuedReason::kNotHolder}};
  }
  if (this->IsOutstanding(event.agent)) {
    return {OrderNotIssued{event.agent, NotIssuedReason::kOutstanding}};
  }
  const std::optional<Stamp> stamp = this->UsableStamp(event.agent, now);
  if (!stamp) {
    return {OrderNotIssued{event.agent, NotIssuedReason::kNoStamp}};
  }
  this->last_token.sequence += 1;
  this->outstanding[event.agent] = {this->last_token, now};
  // The stamp was received before this renewal was sent, so the agent lets the
  // order expire by then.
  this->expires_at[this->last_token] =
      this->grant->renewal_sent + this->grant->term;
  return {SendOrder{
      event.agent,
      {this->duty, this->last_token, this->agents.at(event.agent).boot,
       stamp->stamp, this->grant->term, event.change}}};
}

Actions OrderIssuer::On(const OrderAnswered& event, base::Instant now) {
  const bool stale = event.result.outcome == OrderOutcome::kRefused &&
                     event.result.refusal == OrderRefusal::kStaleToken;
  if (stale) {
    // The refused order may be a duplicate of one that was accepted.
    return this->On(OrderLost{event.token}, now);
  }
  this->expires_at.erase(event.token);
  return this->Conclude(event.token, event.result);
}

Actions OrderIssuer::On(const OrderLost& event, base::Instant) {
  return this->Conclude(event.token, {OrderOutcome::kUnknown, {}});
}

Actions OrderIssuer::On(const StopIssuing&, base::Instant) {
  this->stopping = true;
  return {};
}

Actions OrderIssuer::On(const IssuerTick&, base::Instant now) {
  std::vector<OrderToken> overdue;
  for (const auto& [agent, order] : this->outstanding) {
    if (now - order.sent >= this->order_timeout) {
      overdue.push_back(order.token);
    }
  }
  Actions actions;
  for (const OrderToken& token : overdue) {
    const Actions concluded =
        this->Conclude(token, {OrderOutcome::kUnknown, {}});
    actions.insert(actions.end(), concluded.begin(), concluded.end());
  }
  return actions;
}

Actions OrderIssuer::Conclude(const OrderToken& token,
                              const OrderResult& result) {
  const auto found = std::find_if(
      this->outstanding.begin(), this->outstanding.end(),
      [&](const auto& entry) { return entry.second.token == token; });
  if (found == this->outstanding.end()) {
    return {};  // it was already treated as lost
  }
  const base::BackendServerId agent = found->first;
  this->outstanding.erase(found);
  return {OrderConcluded{agent, token, result}};
}

}  // namespace carawayvalve::core
