#ifndef CARAWAYVALVE_CORE_ORDER_GATE_H_
#define CARAWAYVALVE_CORE_ORDER_GATE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::core {

// Identifies an order and gives the sequence of a duty's orders: by the
// holder's epoch, then in the order in which the holder sent them.
struct OrderToken {
  int64_t epoch = 0;
  int64_t sequence = 0;

  auto operator<=>(const OrderToken&) const = default;
};

// Returns the token as one number that increases with it, for engines that
// check a numeric fencing token.
int64_t FencingNumber(const OrderToken& token);

// The requested changes to an engine. Empty members change nothing.
struct EngineChange {
  std::optional<config::EngineRole> role;
  base::ModelId model;
  std::string version;

  bool operator==(const EngineChange&) const = default;
};

// An order to the agent of one engine. It expires when the agent's clock
// reaches `stamp` plus `term`, less the drift margin.
struct StampedOrder {
  std::string duty;
  OrderToken token;
  base::BootId agent_boot;
  // A reading of the agent's own clock, which the duty's holder received before
  // it sent its last successful renewal.
  base::Instant stamp;
  // The term of the lease.
  base::Duration term{};
  EngineChange change;

  bool operator==(const StampedOrder&) const = default;
};

// Returns when the order expires, by the clock of the agent that gave the
// stamp.
base::Instant OrderExpiry(const StampedOrder& order);

enum class OrderRefusal {
  kWrongDuty,
  // The stamp is from another run of the agent, or lies in this run's future.
  kWrongBoot,
  kExpired,
  // The token isn't greater than the highest one seen.
  kStaleToken,
  // Another order runs, or may still run, at the engine.
  kBusy,
  // The highest token of the agent's earlier runs hasn't been read back yet.
  kMarkUnknown,
  // The token could not be stored, so a restarted agent could accept it again.
  kMarkNotSaved,
  // Requests that a change would cut run at the engine. No new request starts
  // there for a while, so that a later order finds the engine idle.
  kNotIdle,
};

// Returns a description of the refusal, for answers and logs.
std::string OrderRefusalText(OrderRefusal refusal);

// The outcome of an order at its agent.
enum class OrderOutcome {
  // The order certainly had no effect; the refusal gives the reason.
  kRefused,
  kDone,
  // The engine itself refused the order.
  kEngineRefused,
  // The engine may have carried out the order completely, partly or not at all.
  kUnknown,
};

struct OrderResult {
  OrderOutcome outcome = OrderOutcome::kRefused;
  // Meaningful for kRefused only.
  OrderRefusal refusal = OrderRefusal::kBusy;

  bool operator==(const OrderResult&) const = default;
};

// The stored high-water mark of one agent's orders.
struct OrderHighWaterMark {
  OrderToken token;
  // The run of the agent that wrote the mark.
  base::BootId agent_boot;
  // The order may still run at the engine.
  bool open = false;

  bool operator==(const OrderHighWaterMark&) const = default;
};

// Returns the mark as JSON.
std::string PrintOrderHighWaterMark(const OrderHighWaterMark& mark);
// Parses the JSON of a mark. Throws base::Error when `text` isn't one.
OrderHighWaterMark ParseOrderHighWaterMark(const std::string& text);

struct OrderGateOptions {
  // The maximum time that an engine takes over an order. An order without an
  // answer for this long no longer runs.
  base::Duration max_order_duration = std::chrono::seconds(60);
  // The time between two attempts to read the mark.
  base::Duration retry_interval = std::chrono::seconds(1);
  // A call to the store fails when it has no answer for this long.
  base::Duration call_timeout = std::chrono::seconds(3);
  // How long new requests are held after an order found the engine busy. It
  // must be longer than the holder takes to send the next order.
  base::Duration drain_hold = std::chrono::seconds(5);

  bool operator==(const OrderGateOptions&) const = default;
};

struct GateTick {};

// `call` identifies the caller that waits for an AnswerOrder.
struct OrderArrived {
  int64_t call = 0;
  StampedOrder order;
  // Whether no request runs at the engine.
  bool engine_idle = true;
};

// The answer to a ReadMark. `mark` is empty when the object is absent.
struct MarkReadAnswer {
  int64_t call = 0;
  std::optional<OrderHighWaterMark> mark;
  int64_t version = 0;
};

struct MarkWriteDone {
  int64_t call = 0;
  int64_t version = 0;
};

// A ReadMark or WriteMark was refused, was lost or timed out.
struct MarkCallFailed {
  int64_t call = 0;
};

// The engine carried out the order, refused it or gave no answer (kUnknown).
struct EngineAnswered {
  OrderToken token;
  OrderOutcome outcome = OrderOutcome::kUnknown;
};

// The engine has restarted, so everything that ran in it has ended.
struct EngineRestarted {};

using GateEvent = std::variant<GateTick,
                               OrderArrived,
                               MarkReadAnswer,
                               MarkWriteDone,
                               MarkCallFailed,
                               EngineAnswered,
                               EngineRestarted>;

struct ReadMark {
  int64_t call = 0;
};

struct WriteMark {
  int64_t call = 0;
  OrderHighWaterMark mark;
  // The version that the object must have for the write to succeed, 0 if it
  // must be absent.
  int64_t if_version = 0;
};

// Send to the engine at once. Answered by EngineAnswered.
struct RunOrder {
  OrderToken token;
  EngineChange change;
  base::Duration timeout{};
};

struct AnswerOrder {
  int64_t call = 0;
  OrderResult result;
};

using GateAction = std::variant<ReadMark, WriteMark, RunOrder, AnswerOrder>;

// The only path through which orders reach an engine. It runs one order at a
// time and none whose holder may have lost its lease; it needs neither
// synchronised clocks nor a message from the successor for that. The token is
// saved before the order runs, so that a restarted agent refuses it as well.
//
// A remaining risk is a pause of the agent's process between a RunOrder and the
// write to the engine's socket: the order may then take effect after its
// expiry, late by at most the length of the pause plus RunOrder's timeout. The
// gate stays busy meanwhile, so no order of a successor runs concurrently.
class OrderGate {
 public:
  OrderGate(const OrderGateOptions& options,
            std::string duty,
            const base::BootId& boot);

  std::vector<GateAction> Step(const GateEvent& event, base::Instant now);

  // Whether the engine's role is known. False after an order whose outcome is
  // unknown or which a restart of the engine interrupted, until a later order
  // is done.
  bool role_known() const { return this->role_is_known; }
  // The highest token seen by this run or read back from earlier runs.
  const OrderToken& highest() const { return this->highest_token; }
  // Whether an order runs, or may still run.
  bool busy(base::Instant now) const;
  // Whether an order waits for the engine to become idle.
  bool draining(base::Instant now) const { return now < this->drain_until; }
  // Whether new requests must not be started at the engine now.
  bool holds_requests(base::Instant now) const;

 private:
  using Actions = std::vector<GateAction>;

  enum class State {
    kMarkUnknown,
    kIdle,
    kSaving,   // the accepted order's token is being saved
    kRunning,  // the accepted order is at the engine
    kClosing,  // the end of the order is being saved
  };

  Actions On(const GateTick& event, base::Instant now);
  Actions On(const OrderArrived& event, base::Instant now);
  Actions On(const MarkReadAnswer& event, base::Instant now);
  Actions On(const MarkWriteDone& event, base::Instant now);
  Actions On(const MarkCallFailed& event, base::Instant now);
  Actions On(const EngineAnswered& event, base::Instant now);
  Actions On(const EngineRestarted& event, base::Instant now);

  std::optional<OrderRefusal> Check(const OrderArrived& event,
                                    base::Instant now) const;
  bool EndCall(int64_t call);
  Actions Write(bool open, base::Instant now);
  // Answers the accepted order and saves that it has ended.
  Actions FinishOrder(const OrderResult& result, base::Instant now);

  OrderGateOptions options;
  std::string duty;
  base::BootId boot;

  State state = State::kMarkUnknown;
  OrderToken highest_token;
  int64_t mark_version = 0;
  bool role_is_known = true;
  // The accepted order and the caller that waits for its result.
  OrderArrived accepted;
  // An order of unknown outcome may still run until this instant.
  base::Instant settled_at;
  base::Instant run_started_at;
  bool engine_restarted_in_run = false;
  base::Instant drain_until;

  std::optional<int64_t> call_in_flight;
  base::Instant call_sent;
  base::Instant retry_at;
  int64_t last_call = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ORDER_GATE_H_
