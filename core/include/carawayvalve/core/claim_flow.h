#ifndef CARAWAYVALVE_CORE_CLAIM_FLOW_H_
#define CARAWAYVALVE_CORE_CLAIM_FLOW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/claim_object.h"

namespace carawayvalve::core {

// Events of a claim. Each WriteClaim and each ReadClaim is answered by exactly
// one event.

// Answers a WriteClaim.
struct ClaimWritten {
  // False if the object didn't have the expected version.
  bool done = false;
  // The object's version after the write; valid only if `done`.
  int64_t version = 0;
};

// Answers a WriteClaim that may have taken effect or may do so later.
struct ClaimWriteUncertain {};

// Answers a WriteClaim that never reached the store.
struct ClaimWriteNotSent {};

// Answers a ReadClaim.
struct ClaimRead {
  // Empty if there is no such object.
  std::optional<ClaimObject> object;
  int64_t version = 0;
  // The process run that wrote the object is known to have ended.
  bool writer_terminated = false;
};

// Answers a ReadClaim that failed.
struct ClaimReadFailed {};

// The request started by RunRequest hasn't run and never will.
struct ClaimedRequestNotRun {};

// The request started by RunRequest has its final answer.
struct ClaimedRequestFinished {
  // Empty if the answer is incomplete.
  std::optional<StoredAnswer> answer;
  // Why the answer is incomplete.
  std::string reason;
};

// The caller closed its connection.
struct ClaimCallerDisconnected {};

// Timer tick: makes the flow act on the current time.
struct ClaimTick {};

using ClaimEvent = std::variant<ClaimWritten,
                                ClaimWriteUncertain,
                                ClaimWriteNotSent,
                                ClaimRead,
                                ClaimReadFailed,
                                ClaimedRequestNotRun,
                                ClaimedRequestFinished,
                                ClaimCallerDisconnected,
                                ClaimTick>;

// Actions that the owner of the flow performs.

// Compare-and-swap: writes the object if it has this version; 0 creates it.
struct WriteClaim {
  ClaimObject object;
  int64_t if_version = 0;

  bool operator==(const WriteClaim&) const = default;
};

struct ReadClaim {
  bool operator==(const ReadClaim&) const = default;
};

// The claim is held: the request may run once.
struct RunRequest {
  bool operator==(const RunRequest&) const = default;
};

// Answers with the stored answer of an earlier call with the same key.
struct ReplayAnswer {
  StoredAnswer answer;

  bool operator==(const ReplayAnswer&) const = default;
};

enum class ClaimRefusal {
  // This call hasn't run and never will. An earlier call with the same key may
  // have run, which can't be determined without the store.
  kNotRun,
  kInProgress,       // an earlier call with the same key holds the claim
  kRequestMismatch,  // the key was used for another request
  kUnknownOutcome,   // an earlier call may have run; its answer is lost
  kAnswerNotKept,    // an earlier call ran; its answer was too long to store
};

struct RefuseRequest {
  ClaimRefusal refusal = ClaimRefusal::kNotRun;
  std::string reason;
  base::Milliseconds retry_after{0};

  bool operator==(const RefuseRequest&) const = default;
};

using ClaimAction = std::
    variant<WriteClaim, ReadClaim, RunRequest, ReplayAnswer, RefuseRequest>;

// Parameters of the claim of one call.
struct ClaimOptions {
  base::BootId writer;
  // Unique to this call.
  std::string nonce;
  std::string body_digest;
  base::Instant deadline;
  // How long to wait for the store before the call is refused.
  base::Duration settle_time = std::chrono::seconds(2);
  // A claim whose encoding is longer is stored without its answer.
  size_t max_stored_bytes = 512 * 1024;

  bool operator==(const ClaimOptions&) const = default;
};

// State machine that claims an Idempotency-Key for one call, so that at most
// one of all calls with that key runs, through whichever entry process they
// come. The request runs only once the outcome of the claim's write is known.
// After the caller has its answer, the claim is recorded or released, retrying
// without a time limit.
class ClaimFlow {
 public:
  explicit ClaimFlow(const ClaimOptions& options);

  // Starts the claim.
  std::vector<ClaimAction> Begin(base::Instant now);

  // Handles the event and returns the actions to perform, in order.
  std::vector<ClaimAction> Step(const ClaimEvent& event, base::Instant now);

  // No work is left, including writes to the store.
  bool done() const { return this->phase == Phase::kDone; }
  // The caller has its final answer, or its request is running.
  bool answered() const { return this->phase != Phase::kClaiming; }
  // The next time at which a ClaimTick event is needed.
  std::optional<base::Instant> wake_at() const;

 private:
  enum class Phase {
    kClaiming,
    kRunning,
    kStoring,  // writes `final_claim`
    kDone,
  };
  // The store call in flight.
  enum class StoreCall { kNone, kWriteClaimed, kWriteFinal, kRead };

  using Actions = std::vector<ClaimAction>;

  Actions On(const ClaimWritten& event, base::Instant now);
  Actions On(const ClaimWriteUncertain& event, base::Instant now);
  Actions On(const ClaimWriteNotSent& event, base::Instant now);
  Actions On(const ClaimRead& event, base::Instant now);
  Actions On(const ClaimReadFailed& event, base::Instant now);
  Actions On(const ClaimedRequestNotRun& event, base::Instant now);
  Actions On(const ClaimedRequestFinished& event, base::Instant now);
  Actions On(const ClaimCallerDisconnected& event, base::Instant now);
  Actions On(const ClaimTick& event, base::Instant now);

  Actions Write(const ClaimObject& object, int64_t if_version, StoreCall kind);
  Actions Read();
  // Schedules a read of the object, with exponential backoff.
  Actions ReadLater(base::Instant now);
  Actions ReadWhileClaiming(const ClaimRead& event);
  Actions ReadWhileStoring(const ClaimRead& event);
  // Answers from the stored claim of an earlier call with the key.
  Actions AnswerFromEarlierCall(const ClaimRead& event);
  Actions Run(int64_t version);
  Actions Answer(const ClaimAction& answer);
  // Stops claiming, and refuses the call if the caller is still waiting.
  Actions GiveUp(bool caller_waits, base::Instant now);
  Actions WriteFinal(const ClaimObject& object);
  Actions Finish();
  bool IsOwn(const ClaimRead& event) const;

  ClaimOptions options;
  Phase phase = Phase::kClaiming;
  StoreCall pending_call = StoreCall::kNone;
  ClaimObject claim;
  ClaimObject final_claim;
  // The version that the claim's last write expected, and whether a lost write
  // may still take effect.
  int64_t base_version = 0;
  bool write_unsettled = false;
  // A write failed because of an object that this call didn't write.
  bool conflict_seen = false;
  base::Instant settle_until;
  std::optional<base::Instant> read_at;
  base::Duration read_delay{};
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CLAIM_FLOW_H_
