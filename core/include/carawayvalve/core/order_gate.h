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

// Orders all orders of one duty: by the holder's epoch, then as it sent them.
struct OrderToken {
  int64_t epoch = 0;
  int64_t sequence = 0;

  auto operator<=>(const OrderToken&) const = default;
};

// Returns the token as one number that rises with it, for engines that check
// a fencing number.
int64_t FencingNumber(const OrderToken& token);

// What an engine is to become; empty members change nothing.
struct EngineChange {
  std::optional<config::EngineRole> role;
  base::ModelId model;
  std::string version;

  bool operator==(const EngineChange&) const = default;
};

// An order to the agent of one engine. It is void once the agent's clock has
// passed `stamp` and `term`, less the drift margin.
struct StampedOrder {
  std::string duty;
  OrderToken token;
  base::BootId agent_boot;
  // A reading of the agent's own clock, which the holder of the duty obtained
  // before it sent its last successful renewal.
  base::Instant stamp;
  // The term of the lease.
  base::Duration term{};
  EngineChange change;

  bool operator==(const StampedOrder&) const = default;
};

// Returns when the agent that gave the stamp stops obeying the order.
base::Instant OrderExpiry(const StampedOrder& order);

enum class OrderRefusal {
  kWrongDuty,
  // The stamp is of another run of the agent, or can't be of this one.
  kWrongBoot,
  kExpired,
  // The token isn't above the highest one seen.
  kStaleToken,
  // Another order runs, or may still run, at the engine.
  kBusy,
  // The highest token of earlier runs hasn't been read back yet.
  kMarkUnknown,
  // The store didn't take the token, so that a restart could forget it.
  kMarkNotSaved,
  // Requests run at the engine, which a change would cut. Nothing new is to
  // start there for a while, so that a later order finds it idle.
  kNotIdle,
};

// Returns the refusal in words, for answers and logs.
std::string OrderRefusalText(OrderRefusal refusal);

// What became of an order at its agent.
enum class OrderOutcome {
  // It certainly had no effect; the refusal says why.
  kRefused,
  kDone,
  // The engine itself refused it.
  kEngineRefused,
  // The engine may have carried it out wholly, in part or not at all.
  kUnknown,
};

struct OrderResult {
  OrderOutcome outcome = OrderOutcome::kRefused;
  // Meant for kRefused only.
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

// The JSON form of a mark.
std::string PrintOrderHighWaterMark(const OrderHighWaterMark& mark);
// Throws base::Error when `text` isn't a mark.
OrderHighWaterMark ParseOrderHighWaterMark(const std::string& text);

struct OrderGateOptions {
  // The longest time that an engine may take over an order; one without an
  // answer for so long runs no more.
  base::Duration max_order_duration = std::chrono::seconds(60);
  // Between two tries to read the mark.
  base::Duration retry_interval = std::chrono::seconds(1);
  // A call of the store without an answer for so long has failed.
  base::Duration call_timeout = std::chrono::seconds(3);
  // For how long an order that found the engine at work keeps new work away;
  // more than the holder takes to send the next one.
  base::Duration drain_hold = std::chrono::seconds(5);

  bool operator==(const OrderGateOptions&) const = default;
};

struct GateTick {};

// `call` tells the callers apart that wait for an AnswerOrder.
struct OrderArrived {
  int64_t call = 0;
  StampedOrder order;
  // No request runs at the engine.
  bool engine_idle = true;
};

// The answer to a ReadMark; `mark` is empty when the object is absent.
struct MarkReadAnswer {
  int64_t call = 0;
  std::optional<OrderHighWaterMark> mark;
  int64_t version = 0;
};

struct MarkWriteDone {
  int64_t call = 0;
  int64_t version = 0;
};

// A ReadMark or WriteMark was refused, lost or not answered.
struct MarkCallFailed {
  int64_t call = 0;
};

// The engine carried the order out, refused it, or gave no answer (kUnknown).
struct EngineAnswered {
  OrderToken token;
  OrderOutcome outcome = OrderOutcome::kUnknown;
};

// The engine was seen to have started anew: what ran in it runs no more.
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
  // The version that the object must have, 0 for absent.
  int64_t if_version = 0;
};

// To be sent to the engine at once, answered by EngineAnswered.
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

// The one place through which orders reach an engine. It runs one order at a
// time, and none whose holder may have lost its lease: neither synchronised
// clocks nor word from the successor are needed for that. The token is saved
// before the order runs, so that a restarted agent refuses it as well.
//
// What remains: a pause of the agent's process between a RunOrder and the
// write to the engine's socket lets the order take effect later than its end,
// by the length of the pause and RunOrder's timeout at the most. The gate
// stays busy meanwhile, so that no order of a successor runs beside it.
class OrderGate {
 public:
  OrderGate(const OrderGateOptions& options,
            std::string duty,
            const base::BootId& boot);

  std::vector<GateAction> Step(const GateEvent& event, base::Instant now);

  // False from an order that ended unknown, or was cut short by a restart of
  // the engine, until a later order is done.
  bool role_known() const { return this->role_is_known; }
  // The highest token seen by this run or read back from earlier ones.
  const OrderToken& highest() const { return this->highest_token; }
  // An order runs, or may still run.
  bool busy(base::Instant now) const;
  // An order waits for the engine to become idle.
  bool draining(base::Instant now) const { return now < this->drain_until; }
  // No request may be started at the engine now.
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
  Actions End(const OrderResult& result, base::Instant now);

  OrderGateOptions options;
  std::string duty;
  base::BootId boot;

  State state = State::kMarkUnknown;
  OrderToken highest_token;
  int64_t mark_version = 0;
  bool role_is_known = true;
  // The accepted order and the caller that waits for its result.
  OrderArrived accepted;
  // An order of unknown outcome may still run until then.
  base::Instant settled_at;
  base::Instant run_at;
  bool restarted_in_run = false;
  base::Instant drain_until;

  std::optional<int64_t> call_in_flight;
  base::Instant call_sent;
  base::Instant retry_at;
  int64_t last_call = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ORDER_GATE_H_
