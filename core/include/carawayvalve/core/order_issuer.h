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

// The duty's current lease grant. Pass it after each step of the lease.
struct LeaseGrantUpdated {
  std::optional<LeaseGrant> grant;
};

// A status of an agent was received, with a reading of the agent's clock.
struct StampReceived {
  base::BackendServerId agent;
  base::BootId boot;
  base::Instant stamp;
};

// Requests an order to one agent.
struct IssueOrder {
  base::BackendServerId agent;
  EngineChange change;
};

struct OrderAnswered {
  OrderToken token;
  OrderResult result;
};

// The agent gave no answer. The order may have arrived, or may still arrive.
struct OrderLost {
  OrderToken token;
};

// Starts a planned stop: no more orders are issued.
struct StopIssuing {};

struct IssuerTick {};

using IssuerEvent = std::variant<LeaseGrantUpdated,
                                 StampReceived,
                                 IssueOrder,
                                 OrderAnswered,
                                 OrderLost,
                                 StopIssuing,
                                 IssuerTick>;

// Send at most once; a resend is a new IssueOrder with a new sequence.
struct SendOrder {
  base::BackendServerId agent;
  StampedOrder order;
};

enum class NotIssuedReason {
  kNotHolder,
  // No stamp of this agent is both older than the last renewal and unexpired.
  kNoStamp,
  // An earlier order to this agent has no result yet.
  kOutstanding,
  kStopping,
};

struct OrderNotIssued {
  base::BackendServerId agent;
  NotIssuedReason reason = NotIssuedReason::kNotHolder;
};

// The final result of an order; no further action reports on it.
struct OrderConcluded {
  base::BackendServerId agent;
  OrderToken token;
  OrderResult result;
};

using IssuerAction = std::variant<SendOrder, OrderNotIssued, OrderConcluded>;

// Issues the orders of one duty while its lease is held. Each order carries a
// stamp that was received before the last successful renewal was sent. A
// successor waits for a full term from that renewal, so the order expires
// before the successor can hold the duty.
class OrderIssuer {
 public:
  // An order without a result for `order_timeout` is treated as lost.
  // `order_timeout` must exceed the agent's maximum order duration.
  explicit OrderIssuer(std::string duty,
                       base::Duration order_timeout = std::chrono::seconds(90));

  std::vector<IssuerAction> Step(const IssuerEvent& event, base::Instant now);

  // Whether no unanswered order can still take effect. After StopIssuing,
  // release the lease only when this is true.
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
  // Unanswered orders, and when their agents certainly refuse them.
  std::map<OrderToken, base::Instant> expires_at;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ORDER_ISSUER_H_
