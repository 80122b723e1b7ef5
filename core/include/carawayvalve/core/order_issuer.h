#ifndef CARAWAYVALVE_CORE_ORDER_ISSUER_H_
#define CARAWAYVALVE_CORE_ORDER_ISSUER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/lease.h"
#include "carawayvalve/core/order_gate.h"

namespace carawayvalve::core {

// What the duty's lease permits now; to be told after each step of the lease.
struct LeaseGrantUpdated {
  std::optional<LeaseGrant> grant;
};

// A status of an agent has arrived, with a reading of the agent's clock.
struct StampReceived {
  base::BackendServerId agent;
  base::BootId boot;
  base::Instant stamp;
};

// Asks for an order to one agent.
struct IssueOrder {
  base::BackendServerId agent;
  EngineChange change;
};

struct OrderAnswered {
  OrderToken token;
  OrderResult result;
};

// The agent gave no answer: the order may or may not have arrived, and may
// still arrive.
struct OrderLost {
  OrderToken token;
};

// A planned stop: nothing more is issued.
struct StopIssuing {};

struct IssuerTick {};

using IssuerEvent = std::variant<LeaseGrantUpdated,
                                 StampReceived,
                                 IssueOrder,
                                 OrderAnswered,
                                 OrderLost,
                                 StopIssuing,
                                 IssuerTick>;

// To be sent once; a resend is a new IssueOrder, with a new sequence.
struct SendOrder {
  base::BackendServerId agent;
  StampedOrder order;
};

enum class NotIssuedReason {
  kNotHolder,
  // No stamp of this agent is older than the last renewal and still good.
  kNoStamp,
  // An earlier order to this agent has no result yet.
  kOutstanding,
  kStopping,
};

struct OrderNotIssued {
  base::BackendServerId agent;
  NotIssuedReason reason = NotIssuedReason::kNotHolder;
};

// Nothing more will be heard of the order.
struct OrderConcluded {
  base::BackendServerId agent;
  OrderToken token;
  OrderResult result;
};

using IssuerAction = std::variant<SendOrder, OrderNotIssued, OrderConcluded>;

// Issues the orders of one duty while its lease is held. Each carries a stamp
// that was received before the last successful renewal was sent, so that it is
// void before a successor, who waits from that renewal on, can hold the duty.
class OrderIssuer {
 public:
  // An order without a result for `order_timeout` counts as lost; it must
  // exceed the agent's limit for an order.
  explicit OrderIssuer(std::string duty,
                       base::Duration order_timeout = std::chrono::seconds(90));

  std::vector<IssuerAction> Step(const IssuerEvent& event, base::Instant now);

  // Whether no order that was sent can take effect any more without having
  // been answered; the lease is released only then, after StopIssuing.
  bool Settled(base::Instant now) const;

  bool IsOutstanding(const base::BackendServerId& agent) const {
    return this->outstanding.contains(agent);
  }

 private:
  using Actions = std::vector<IssuerAction>;

  struct Stamp {
    base::Instant stamp;
    // By this process's clock.
    base::Instant received;
  };
  struct Agent {
    base::BootId boot;
    // Oldest first.
    std::vector<Stamp> stamps;
  };
  struct OutstandingOrder {
    OrderToken token;
    base::Instant sent;
  };

  Actions On(const LeaseGrantUpdated& event, base::Instant now);
  Actions On(const StampReceived& event, base::Instant now);
  Actions On(const IssueOrder& event, base::Instant now);
  Actions On(const OrderAnswered& event, base::Instant now);
  Actions On(const OrderLost& event, base::Instant now);
  Actions On(const StopIssuing& event, base::Instant now);
  Actions On(const IssuerTick& event, base::Instant now);

  std::optional<Stamp> UsableStamp(const base::BackendServerId& agent,
                                   base::Instant now) const;
  Actions Conclude(const OrderToken& token, const OrderResult& result);

  std::string duty;
  base::Duration order_timeout;
  std::optional<LeaseGrant> grant;
  bool stopping = false;
  OrderToken last_token;
  std::map<base::BackendServerId, Agent> agents;
  std::map<base::BackendServerId, OutstandingOrder> outstanding;
  // Orders without an answer, and when their agents certainly refuse them.
  std::map<OrderToken, base::Instant> expires_at;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ORDER_ISSUER_H_
