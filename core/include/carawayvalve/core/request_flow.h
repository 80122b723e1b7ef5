#ifndef CARAWAYVALVE_CORE_REQUEST_FLOW_H_
#define CARAWAYVALVE_CORE_REQUEST_FLOW_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/answer_stream.h"
#include "carawayvalve/core/attempt_ledger.h"

namespace carawayvalve::core {

// Parameters of a request's flow.
struct RequestOptions {
  // The request may be run again after a failure.
  bool idempotent = false;
  // Another engine can continue from the answer delivered so far.
  bool continuable = false;
  base::Instant deadline;
  int32_t max_attempts = 3;
  // How long to ask a backend server's agent whether an attempt has run.
  base::Duration settle_time = base::Milliseconds(500);

  bool operator==(const RequestOptions&) const = default;
};

// Events of a request. Late events of attempts other than the current one are
// ignored.

struct BackendChosen {
  base::AttemptId attempt;
  base::BackendServerId backend_server;
};

struct NoBackendAvailable {
  std::string reason;
  base::Milliseconds retry_after;
};

struct SubmitAccepted {
  base::AttemptId attempt;
};

// The attempt has not run and never will at its agent.
struct SubmitRefused {
  base::AttemptId attempt;
  std::string reason;
  base::Milliseconds retry_after;
};

// The agent may or may not have received the submission or abandon.
struct SubmitUnanswered {
  base::AttemptId attempt;
};

// The agent's view of the attempt, as answer to a read or an abandon.
struct AttemptViewReceived {
  base::AttemptId attempt;
  AttemptView view;
};

// The agent has terminated or has been unreachable for too long.
struct BackendLost {
  base::AttemptId attempt;
  std::string reason;
};

// The caller closed its connection.
struct CallerDisconnected {};

// The request's key was withdrawn, or its route closed.
struct PermissionWithdrawn {};

// The process stops: the request must have its final answer by then, be it that
// its outcome isn't known.
struct AnswerBy {
  base::Instant at;
};

// Timer tick: makes the flow act on the current time.
struct RequestTick {};

using RequestEvent = std::variant<BackendChosen,
                                  NoBackendAvailable,
                                  SubmitAccepted,
                                  SubmitRefused,
                                  SubmitUnanswered,
                                  AttemptViewReceived,
                                  BackendLost,
                                  CallerDisconnected,
                                  PermissionWithdrawn,
                                  AnswerBy,
                                  RequestTick>;

// Actions that the owner of the flow performs.

// Answered by BackendChosen or NoBackendAvailable.
struct ChooseBackend {
  std::set<base::BackendServerId> excluded;
  bool is_retry = false;
};

struct SubmitAttempt {
  base::AttemptId attempt;
  base::BackendServerId backend_server;
  // The part of the answer that the caller already has.
  std::string text_so_far;
  int32_t tokens_so_far = 0;
};

// Answered by AttemptViewReceived, SubmitUnanswered or BackendLost.
struct AbandonAttempt {
  base::AttemptId attempt;
  base::BackendServerId backend_server;
};

// Frees the backend server; no event answers it.
struct CancelAttempt {
  base::AttemptId attempt;
  base::BackendServerId backend_server;
};

// Sends the next record of the answer to the caller.
struct DeliverRecord {
  AnswerRecord record;
};

enum class FailureKind {
  kNotRun,          // the request has not run and never will
  kUnknownOutcome,  // the request may have run
  kIncomplete,      // only part of the answer was delivered
};

// The final answer; no action follows it.
struct FinishRequest {
  // The complete answer was delivered.
  bool whole = false;
  // Valid only if `whole` is false.
  FailureKind failure = FailureKind::kNotRun;
  std::string reason;
  base::Milliseconds retry_after{0};
  bool deadline_passed = false;
};

using RequestAction = std::variant<ChooseBackend,
                                   SubmitAttempt,
                                   AbandonAttempt,
                                   CancelAttempt,
                                   DeliverRecord,
                                   FinishRequest>;

// State machine of one request at an entry process, from the first choice of a
// backend server to exactly one final answer.
class RequestFlow {
 public:
  explicit RequestFlow(const RequestOptions& options);

  // Starts the flow.
  std::vector<RequestAction> Begin(base::Instant now);

  // Handles the event and returns the actions to perform, in order.
  std::vector<RequestAction> Step(const RequestEvent& event, base::Instant now);

  bool done() const { return this->phase == Phase::kDone; }
  const base::AttemptId& attempt() const { return this->current_attempt; }
  const base::BackendServerId& backend_server() const {
    return this->current_backend;
  }
  // The offset from which to read the current attempt's output.
  int64_t read_offset() const { return this->next_offset; }
  // Whether the current attempt's output has to be read.
  bool reading() const {
    return this->phase == Phase::kReading ||
           (this->phase == Phase::kSettling && this->reading_after_deadline);
  }
  int32_t attempts() const { return this->attempt_count; }
  // Returns whether any attempt has produced output.
  bool has_output() const { return this->tokens_so_far > 0; }
  // Returns the number of tokens that the current attempt has delivered.
  int32_t attempt_tokens() const {
    return this->tokens_so_far - this->earlier_tokens;
  }
  const char* phase_name() const;

 private:
  enum class Phase { kChoosing, kSubmitting, kReading, kSettling, kDone };

  using Actions = std::vector<RequestAction>;

  Actions On(const BackendChosen& event, base::Instant now);
  Actions On(const NoBackendAvailable& event, base::Instant now);
  Actions On(const SubmitAccepted& event, base::Instant now);
  Actions On(const SubmitRefused& event, base::Instant now);
  Actions On(const SubmitUnanswered& event, base::Instant now);
  Actions On(const AttemptViewReceived& event, base::Instant now);
  Actions On(const BackendLost& event, base::Instant now);
  Actions On(const CallerDisconnected& event, base::Instant now);
  Actions On(const PermissionWithdrawn& event, base::Instant now);
  Actions On(const AnswerBy& event, base::Instant now);
  Actions On(const RequestTick& event, base::Instant now);

  bool IsCurrent(const base::AttemptId& attempt) const;
  Actions HandleViewAfterDeadline(const AttemptView& view, base::Instant now);
  Actions DeliverOutput(const AttemptView& view, base::Instant now);
  Actions HandleIncompleteEnd(const AttemptView& view, base::Instant now);
  // Abandons the current attempt and waits for at most `settle_time` to learn
  // whether it has run.
  Actions Settle(base::Instant now);
  Actions Abandon();
  // Repeats an unanswered abandon once its retry delay has passed.
  Actions RetryAbandon(base::Instant now);
  // The current attempt has not run: starts another attempt or fails.
  Actions HandleNotRun(const std::string& reason,
                       base::Milliseconds retry_after,
                       base::Instant now);
  // The current attempt may have run, or its answer broke off.
  Actions HandleFailure(const std::string& reason, base::Instant now);
  Actions TryAgain();
  Actions Fail(FailureKind failure,
               const std::string& reason,
               base::Milliseconds retry_after,
               base::Instant now);
  bool MayTryAgain(base::Instant now) const;

  RequestOptions options;
  Phase phase = Phase::kChoosing;
  base::AttemptId current_attempt;
  base::BackendServerId current_backend;
  std::set<base::BackendServerId> tried_backends;
  int32_t attempt_count = 0;
  int64_t next_offset = 0;
  base::Instant settle_until;
  // The agent hasn't answered an AbandonAttempt yet.
  bool abandon_pending = false;
  std::optional<base::Instant> next_abandon_at;
  // The attempt finished before the deadline; its output is read after it.
  bool reading_after_deadline = false;
  AnswerStreamReader stream;
  bool head_delivered = false;
  bool chunk_delivered = false;
  // An attempt may have run, so no later failure may be reported as "not run".
  bool may_have_run = false;
  // The permission was withdrawn: no further attempt is started.
  bool withdrawn = false;
  std::string text_so_far;
  int32_t tokens_so_far = 0;
  // Number of tokens before the current attempt.
  int32_t earlier_tokens = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_REQUEST_FLOW_H_
