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

// What happened to a claim. Each WriteClaim and each ReadClaim is answered by
// exactly one event.

// Answers a WriteClaim.
struct ClaimWritten {
  // False when the object didn't have the expected version.
  bool done = false;
  // The version that the write gave the object; meant when done.
  int64_t version = 0;
};

// Answers a WriteClaim that may have taken effect, or may yet.
struct ClaimWriteLost {};

// Answers a WriteClaim that certainly never reached the store.
struct ClaimWriteNotSent {};

// Answers a ReadClaim.
struct ClaimRead {
  // None when there is no such object.
  std::optional<ClaimObject> object;
  int64_t version = 0;
  // The writer's run of its process is known to have ended.
  bool writer_terminated = false;
};

// Answers a ReadClaim that brought nothing.
struct ClaimReadFailed {};

// The request that RunRequest began hasn't run and never will.
struct ClaimedRequestNotRun {};

// The request that RunRequest began has got its final answer.
struct ClaimedRequestFinished {
  // None when the answer isn't whole.
  std::optional<StoredAnswer> answer;
  // Why it isn't.
  std::string reason;
};

// The caller closed its connection.
struct ClaimCallerDisconnected {};

// The time passed in is all that matters.
struct ClaimTimePassed {};

using ClaimEvent = std::variant<ClaimWritten,
                                ClaimWriteLost,
                                ClaimWriteNotSent,
                                ClaimRead,
                                ClaimReadFailed,
                                ClaimedRequestNotRun,
                                ClaimedRequestFinished,
                                ClaimCallerDisconnected,
                                ClaimTimePassed>;

// What is to be done for a claim.

// Writes the object if it has this version; 0 creates it.
struct WriteClaim {
  ClaimObject object;
  int64_t if_version = 0;

  bool operator==(const WriteClaim&) const = default;
};

struct ReadClaim {
  bool operator==(const ReadClaim&) const = default;
};

// The claim is held: the request may run, once.
struct RunRequest {
  bool operator==(const RunRequest&) const = default;
};

// The same request has been answered before.
struct ReplayAnswer {
  StoredAnswer answer;

  bool operator==(const ReplayAnswer&) const = default;
};

enum class ClaimRefusal {
  // This call hasn't run and never will. An earlier one with the same key may
  // have, which can't be told without the store.
  kNotRun,
  kInProgress,      // an earlier call with the same key holds the claim
  kRequestMismatch,       // the key was used for another request
  kUnknownOutcome,  // an earlier call may have run; its answer is lost
  kAnswerNotKept,   // an earlier call ran; its answer was too long to keep
};

struct RefuseRequest {
  ClaimRefusal refusal = ClaimRefusal::kNotRun;
  std::string reason;
  base::Milliseconds retry_after{0};

  bool operator==(const RefuseRequest&) const = default;
};

using ClaimAction = std::
    variant<WriteClaim, ReadClaim, RunRequest, ReplayAnswer, RefuseRequest>;

// What the claim of one call depends on.
struct ClaimOptions {
  base::BootId writer;
  // Unique to this call.
  std::string nonce;
  std::string body_digest;
  base::Instant deadline;
  // How long the store is asked before the call is refused.
  base::Duration settle_time = std::chrono::seconds(2);
  // A claim that is longer when encoded is stored without its answer.
  size_t max_stored_bytes = 512 * 1024;

  bool operator==(const ClaimOptions&) const = default;
};

// Claims an Idempotency-Key for one call, so that of all calls with that key,
// through whichever entry process, at most one runs. What was written is
// settled before the request runs, and recorded or released after the caller
// has had its answer, for as long as that takes.
class ClaimFlow {
 public:
  explicit ClaimFlow(const ClaimOptions& options);

  // Begins the claim.
  std::vector<ClaimAction> Begin(base::Instant now);

  std::vector<ClaimAction> Step(const ClaimEvent& event, base::Instant now);

  // Nothing is left to be done, in the store either.
  bool done() const { return this->phase == Phase::kDone; }
  // The caller has its final answer, or its request runs.
  bool answered() const { return this->phase != Phase::kClaiming; }
  // When ClaimTimePassed has something to do.
  std::optional<base::Instant> wake_at() const;

 private:
  enum class Phase {
    kClaiming,
    kRunning,
    kStoring,  // writes `goal`
    kDone,
  };
  // The call of the store that is under way.
  enum class Call { kNone, kWriteClaimed, kWriteGoal, kRead };

  using Actions = std::vector<ClaimAction>;

  Actions On(const ClaimWritten& event, base::Instant now);
  Actions On(const ClaimWriteLost& event, base::Instant now);
  Actions On(const ClaimWriteNotSent& event, base::Instant now);
  Actions On(const ClaimRead& event, base::Instant now);
  Actions On(const ClaimReadFailed& event, base::Instant now);
  Actions On(const ClaimedRequestNotRun& event, base::Instant now);
  Actions On(const ClaimedRequestFinished& event, base::Instant now);
  Actions On(const ClaimCallerDisconnected& event, base::Instant now);
  Actions On(const ClaimTimePassed& event, base::Instant now);

  Actions Write(const ClaimObject& object, int64_t if_version, Call kind);
  Actions Read();
  // Reads the object after a pause that grows from one to the next.
  Actions ReadLater(base::Instant now);
  Actions ReadWhileClaiming(const ClaimRead& event);
  Actions ReadWhileStoring(const ClaimRead& event);
  // Answers from what an earlier call with the key left behind.
  Actions AnswerFrom(const ClaimRead& event);
  Actions Run(int64_t version);
  Actions Answer(const ClaimAction& answer);
  // Ends the claiming, with an answer if the caller waits for one.
  Actions GiveUp(bool caller_waits, base::Instant now);
  Actions Store(const ClaimObject& object);
  Actions Finish();
  bool IsOwn(const ClaimRead& event) const;

  ClaimOptions options;
  Phase phase = Phase::kClaiming;
  Call call = Call::kNone;
  ClaimObject claim;
  ClaimObject goal;
  // The version that the claim was last written on top of, and whether a lost
  // write may still take effect.
  int64_t base_version = 0;
  bool write_unsettled = false;
  // An object that this call didn't write stood in the way.
  bool conflict_seen = false;
  base::Instant settle_until;
  std::optional<base::Instant> read_at;
  base::Duration pause{};
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CLAIM_FLOW_H_
