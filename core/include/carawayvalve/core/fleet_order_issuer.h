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

// An order to the platform for one backend server.
struct FleetOrder {
  FleetAction action = FleetAction::kStart;
  base::ServiceId service;
  // Empty when a new one is started.
  base::BackendServerId backend_server;

  bool operator==(const FleetOrder&) const = default;
};

// The stored form of the order that was last meant to be sent. While it is
// open, the platform may have got the order or may still get it.
struct FleetIntent {
  OrderToken token;
  // The writer, one run of a process.
  base::BootId holder;
  FleetOrder order;
  bool open = false;

  bool operator==(const FleetIntent&) const = default;
};

// The JSON form of an intent.
std::string PrintFleetIntent(const FleetIntent& intent);
// Throws base::Error when `text` isn't an intent.
FleetIntent ParseFleetIntent(const std::string& text);

// Returns the key under which the platform obeys an order at most once.
std::string FleetIdempotencyKey(const std::string& duty,
                                const OrderToken& token);

struct FleetOrderOptions {
  // The longest time that a call of the platform may take; one without an
  // answer for so long has ended, with or without effect.
  base::Duration max_call_duration = std::chrono::seconds(2);
  // A call of the store, or for the platform's state, without an answer for
  // so long has failed.
  base::Duration store_timeout = std::chrono::seconds(3);
  base::Duration retry_interval = std::chrono::seconds(1);

  bool operator==(const FleetOrderOptions&) const = default;
};

// What the duty's lease permits now; to be told after each step of the lease.
struct FleetGrantUpdated {
  std::optional<LeaseGrant> grant;
};

// Asks for one order; taken only when ready() is true.
struct PlaceFleetOrder {
  FleetOrder order;
};

// The answer to a ReadIntent; `intent` is empty when the object is absent.
struct IntentReadAnswer {
  int64_t call = 0;
  std::optional<FleetIntent> intent;
  int64_t version = 0;
};

struct IntentWriteDone {
  int64_t call = 0;
  int64_t version = 0;
};

// A ReadIntent or WriteIntent was refused, lost or not answered.
struct IntentCallFailed {
  int64_t call = 0;
};

// The platform carried the order out, or refused it.
struct PlatformAnswered {
  OrderToken token;
  bool done = false;
};

// The platform gave no answer; the call may have had its effect.
struct PlatformCallLost {
  OrderToken token;
};

// MaySend() was false right before the call: it was not made.
struct PlatformCallNotSent {
  OrderToken token;
};

// The platform's list of backend servers was read, after the ReadPlatform.
struct PlatformRead {
  int64_t call = 0;
};

// A planned stop: takes no more orders.
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
  // The version that the object must have, 0 for absent.
  int64_t if_version = 0;
};

// To be sent once, right after MaySend(token) was asked again, with a
// connection that is closed after `timeout`. The epoch is the fencing token.
struct CallPlatform {
  OrderToken token;
  std::string idempotency_key;
  FleetOrder order;
  base::Duration timeout{};
};

// Answered by PlatformRead, if at all.
struct ReadPlatform {
  int64_t call = 0;
};

enum class FleetOutcome {
  kDone,
  // The platform refused the order.
  kRefused,
  // The platform certainly didn't get the order.
  kNotSent,
  // The platform's state shows it, or will to the successor.
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

// Sends start and stop orders of one duty to the platform, which no gate of
// ours protects. The intent is stored first, on condition of the version that
// was read under this epoch; the call must fit into what is left of the lease.
// A new holder reads the intent; if it is open, it waits out the call's limit,
// reads the platform's state and closes the intent before it orders anything.
//
// What remains: a pause between the last MaySend() and the write to the socket.
// A pause shorter than the call's limit does no harm, as the successor waits
// for that long on top of the lease. After a longer one the call may reach the
// platform beside the successor's; idempotency key and epoch go with it for
// platforms that check them.
class FleetOrderIssuer {
 public:
  FleetOrderIssuer(const FleetOrderOptions& options,
                   std::string duty,
                   const base::BootId& self);

  std::vector<FleetOrderAction> Step(const FleetEvent& event,
                                     base::Instant now);

  // Whether the next order would be taken.
  bool ready(base::Instant now) const;
  // Whether the call may be written to the socket now.
  bool MaySend(const OrderToken& token, base::Instant now) const;
  // Whether no call is under way or may still take effect; the lease is
  // released only then, after StopOrdering.
  bool Settled(base::Instant now) const { return now >= this->settled_at; }

 private:
  using Actions = std::vector<FleetOrderAction>;

  enum class State {
    kIntentUnknown,    // the intent isn't known
    kAwaitingCallEnd,  // a call of an open intent may still be under way
    kReadingPlatform,  // an open intent's effect is being read
    kReady,            // the intent is closed
    kOpening,          // an open intent is being written
    kOpened,           // the call waits for a lease that it fits into
    kCalling,          // the call is under way
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
  // Forgets what this process did under a grant that is gone.
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
  // The order that was taken and not yet concluded.
  std::optional<FleetOrder> order;
  int64_t intent_version = 0;
  base::Instant called_at;
  base::Instant wait_until;
  // No call is under way from then on.
  base::Instant settled_at;

  std::optional<int64_t> call_in_flight;
  base::Instant call_sent;
  base::Instant retry_at;
  int64_t last_call = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_FLEET_ORDER_ISSUER_H_
