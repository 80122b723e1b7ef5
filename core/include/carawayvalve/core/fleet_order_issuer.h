#ifndef CARAWAYVALVE_CORE_FLEET_ORDER_ISSUER_H_
#define CARAWAYVALVE_CORE_FLEET_ORDER_ISSUER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/lease.h"
#include "carawayvalve/core/order_gate.h"

namespace carawayvalve::core {

enum class FleetAction { kStart, kStop };

// An order to the platform to start or stop one backend server.
struct FleetOrder {
  FleetAction action = FleetAction::kStart;
  base::ServiceId service;
  // Empty when a new server is started.
  base::BackendServerId backend_server;

  bool operator==(const FleetOrder&) const = default;
};

// The stored record of the last order that the holder intended to send. While
// it is open, the platform may have received the order or may still receive it.
struct FleetIntent {
  OrderToken token;
  // The process run that wrote the intent.
  base::BootId holder;
  FleetOrder order;
  bool open = false;

  bool operator==(const FleetIntent&) const = default;
};

// Returns the intent as JSON.
std::string PrintFleetIntent(const FleetIntent& intent);
// Parses the JSON of an intent. Throws base::Error when `text` isn't one.
FleetIntent ParseFleetIntent(const std::string& text);

// Returns the idempotency key under which the platform carries out an order at
// most once.
std::string FleetIdempotencyKey(const std::string& duty,
                                const OrderToken& token);

struct FleetOrderOptions {
  // The maximum duration of a call to the platform. A call without an answer
  // for this long has ended, with or without effect.
  base::Duration max_call_duration = std::chrono::seconds(2);
  // A call to the store, or a read of the platform's state, fails when it has
  // no answer for this long.
  base::Duration store_timeout = std::chrono::seconds(3);
  base::Duration retry_interval = std::chrono::seconds(1);

  bool operator==(const FleetOrderOptions&) const = default;
};

// The duty's current lease grant. Pass it after each step of the lease.
struct FleetGrantUpdated {
  std::optional<LeaseGrant> grant;
};

// Requests one order. Accepted only when ready() is true.
struct PlaceFleetOrder {
  FleetOrder order;
};

// The answer to a ReadIntent. `intent` is empty when the object is absent.
struct IntentReadAnswer {
  int64_t call = 0;
  std::optional<FleetIntent> intent;
  int64_t version = 0;
};

struct IntentWriteDone {
  int64_t call = 0;
  int64_t version = 0;
};

// A ReadIntent or WriteIntent was refused, was lost or timed out.
struct IntentCallFailed {
  int64_t call = 0;
};

// The platform carried out the order (`done`) or refused it.
struct PlatformAnswered {
  OrderToken token;
  bool done = false;
};

// The platform gave no answer. The call may have taken effect.
struct PlatformCallLost {
  OrderToken token;
};

// MaySend() was false immediately before the call, so the call wasn't made.
struct PlatformCallNotSent {
  OrderToken token;
};

// The platform's list of backend servers was read after the ReadPlatform was
// issued.
struct PlatformRead {
  int64_t call = 0;
};

// Starts a planned stop: no more orders are accepted.
struct StopOrdering {};

struct FleetTick {};

using FleetEvent = std::variant<FleetGrantUpdated,
                                PlaceFleetOrder,
                                IntentReadAnswer,
                                IntentWriteDone,
                                IntentCallFailed,
                                PlatformAnswered,
                                PlatformCallLost,
                                PlatformCallNotSent,
                                PlatformRead,
                                StopOrdering,
                                FleetTick>;

struct ReadIntent {
  int64_t call = 0;
};

struct WriteIntent {
  int64_t call = 0;
  FleetIntent intent;
  // The version that the object must have for the write to succeed, 0 if it
  // must be absent.
  int64_t if_version = 0;
};

// Send at most once, immediately after MaySend(token) has returned true, over a
// connection that is closed after `timeout`. The token's epoch is the fencing
// token.
struct CallPlatform {
  OrderToken token;
  std::string idempotency_key;
  FleetOrder order;
  base::Duration timeout{};
};

// Answered by PlatformRead. The answer may be lost.
struct ReadPlatform {
  int64_t call = 0;
};

enum class FleetOutcome {
  kDone,
  // The platform refused the order.
  kRefused,
  // The platform certainly didn't receive the order.
  kNotSent,
  // The order may have taken effect. The platform's state shows whether it did,
  // to this process or to the next holder.
  kUnknown,
};

struct FleetOrderConcluded {
  FleetOrder order;
  FleetOutcome outcome = FleetOutcome::kNotSent;
};

using FleetOrderAction = std::variant<ReadIntent,
                                      WriteIntent,
                                      CallPlatform,
                                      ReadPlatform,
                                      FleetOrderConcluded>;

// Sends start and stop orders of one duty to the platform, which has no
// OrderGate that rejects stale orders. The intent is stored first, conditional
// on the version that was read under this epoch, and the call must fit into the
// remaining lease. A new holder reads the intent; if it is open, the holder
// waits for the maximum call duration, reads the platform's state and closes
// the intent before it sends an order.
//
// A remaining risk is a pause between the last MaySend() and the write to the
// socket. A pause shorter than the maximum call duration is harmless, because
// the next holder waits that long after the lease expires. After a longer pause
// the call may reach the platform concurrently with the next holder's call. The
// idempotency key and the epoch are sent with it for platforms that check them.
class FleetOrderIssuer {
 public:
  FleetOrderIssuer(const FleetOrderOptions& options,
                   std::string duty,
                   const base::BootId& self);

  std::vector<FleetOrderAction> Step(const FleetEvent& event,
                                     base::Instant now);

  // Whether the next order would be accepted.
  bool ready(base::Instant now) const;
  // Whether the call may be written to the socket at `now`.
  bool MaySend(const OrderToken& token, base::Instant now) const;
  // Whether no call is in flight and none may still take effect. After
  // StopOrdering, release the lease only when this is true.
  bool Settled(base::Instant now) const { return now >= this->settled_at; }

 private:
  using Actions = std::vector<FleetOrderAction>;

  enum class State {
    kIntentUnknown,    // the intent hasn't been read
    kAwaitingCallEnd,  // a call of an open intent may be in flight
    kReadingPlatform,  // an open intent's effect is being read
    kReady,            // the intent is closed
    kOpening,          // an open intent is being written
    kOpened,           // the call waits for a lease that it fits into
    kCalling,          // the call is in flight
    kClosing,          // a closed intent is being written
  };

  Actions On(const FleetGrantUpdated& event, base::Instant now);
  Actions On(const PlaceFleetOrder& event, base::Instant now);
  Actions On(const IntentReadAnswer& event, base::Instant now);
  Actions On(const IntentWriteDone& event, base::Instant now);
  Actions On(const IntentCallFailed& event, base::Instant now);
  Actions On(const PlatformAnswered& event, base::Instant now);
  Actions On(const PlatformCallLost& event, base::Instant now);
  Actions On(const PlatformCallNotSent& event, base::Instant now);
  Actions On(const PlatformRead& event, base::Instant now);
  Actions On(const StopOrdering& event, base::Instant now);
  Actions On(const FleetTick& event, base::Instant now);

  bool FitsLease(base::Instant now) const;
  bool IsCalling(const OrderToken& token) const;
  bool EndCall(int64_t call);
  int64_t BeginCall(base::Instant now);
  // Drops the state of the previous grant and concludes its order.
  Actions ResetGrantState();
  Actions NextCall(base::Instant now);
  Actions Write(bool open, base::Instant now);
  Actions Call(base::Instant now);
  Actions Conclude(FleetOutcome outcome);

  FleetOrderOptions options;
  std::string duty;
  base::BootId self;

  State state = State::kIntentUnknown;
  std::optional<LeaseGrant> grant;
  bool stopping = false;
  OrderToken last_token;
  // The order that was accepted and isn't concluded yet.
  std::optional<FleetOrder> order;
  int64_t intent_version = 0;
  base::Instant called_at;
  base::Instant wait_until;
  // No call to the platform is in flight from this instant on.
  base::Instant settled_at;

  std::optional<int64_t> call_in_flight;
  base::Instant call_sent;
  base::Instant retry_at;
  int64_t last_call = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_FLEET_ORDER_ISSUER_H_
