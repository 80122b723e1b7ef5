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

// What the flow of a request depends on.
struct RequestOptions {
  // It may be run again after a failure.
  bool idempotent = false;
  // Its answer so far can be handed to another engine, which goes on from it.
  bool continuable = false;
  base::Instant deadline;
  int32_t max_attempts = 3;
  // How long a backend server's agent is asked whether an attempt has run.
  base::Duration settle_time = base::Milliseconds(500);

  bool operator==(const RequestOptions&) const = default;
};

// What happened to a request. Events of attempts other than the present one
// are late and change nothing.

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

// The agent may or may not have got the submission.
struct SubmitLost {
  base::AttemptId attempt;
};

// What the agent tells of the attempt, by a read or in answer to an abandon.
struct AttemptViewReceived {
  base::AttemptId attempt;
  AttemptView view;
};

// The agent is gone, or has been out of reach for too long.
struct BackendLost {
  base::AttemptId attempt;
  std::string reason;
};

// The caller closed its connection.
struct CallerDisconnected {};

// The request's key was withdrawn, or its route closed.
struct PermissionWithdrawn {};

// The time passed in is all that matters.
struct TimePassed {};

using RequestEvent = std::variant<BackendChosen,
                                  NoBackendAvailable,
                                  SubmitAccepted,
                                  SubmitRefused,
                                  SubmitLost,
                                  AttemptViewReceived,
                                  BackendLost,
                                  CallerDisconnected,
                                  PermissionWithdrawn,
                                  TimePassed>;

// What is to be done for a request.

// Answered by BackendChosen or NoBackendAvailable.
struct ChooseBackend {
  std::set<base::BackendServerId> excluded;
  bool is_retry = false;
};

struct SubmitAttempt {
  base::AttemptId attempt;
  base::BackendServerId backend_server;
  // What the caller has got already.
  std::string text_so_far;
  int32_t tokens_so_far = 0;
};

// Answered by AttemptViewReceived, SubmitLost or BackendLost.
struct AbandonAttempt {
  base::AttemptId attempt;
  base::BackendServerId backend_server;
};

// Nothing comes back; frees the backend server.
struct CancelAttempt {
  base::AttemptId attempt;
  base::BackendServerId backend_server;
};

// The next record of the answer is due to the caller.
struct DeliverRecord {
  AnswerRecord record;
};

enum class FailureKind {
  kNotRun,          // it has not run and never will
  kUnknownOutcome,  // it may have run
  kIncomplete,      // part of the answer was delivered, the rest won't come
};

// The final answer; nothing follows it.
struct FinishRequest {
  bool whole = false;
  // Meant when the answer isn't whole.
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

// Decides what becomes of one request at an entry process, from its first
// choice of a backend server to its one final answer.
class RequestFlow {
 public:
  explicit RequestFlow(const RequestOptions& options);

  // Begins the flow.
  std::vector<RequestAction> Begin(base::Instant now);

  std::vector<RequestAction> Step(const RequestEvent& event, base::Instant now);

  bool done() const { return this->phase == Phase::kDone; }
  const base::AttemptId& attempt() const { return this->present_attempt; }
  const base::BackendServerId& backend_server() const {
    return this->present_backend;
  }
  // The offset from which the present attempt is to be read.
  int64_t read_offset() const { return this->next_offset; }
  // The present attempt's output is to be read.
  bool reading() const {
    return this->phase == Phase::kReading ||
           (this->phase == Phase::kSettling && this->reading_late);
  }
  int32_t attempts() const { return this->attempt_count; }
  const char* phase_name() const;

 private:
  enum class Phase { kChoosing, kSubmitting, kReading, kSettling, kDone };

  using Actions = std::vector<RequestAction>;

  Actions On(const BackendChosen& event, base::Instant now);
  Actions On(const NoBackendAvailable& event, base::Instant now);
  Actions On(const SubmitAccepted& event, base::Instant now);
  Actions On(const SubmitRefused& event, base::Instant now);
  Actions On(const SubmitLost& event, base::Instant now);
  Actions On(const AttemptViewReceived& event, base::Instant now);
  Actions On(const BackendLost& event, base::Instant now);
  Actions On(const CallerDisconnected& event, base::Instant now);
  Actions On(const PermissionWithdrawn& event, base::Instant now);
  Actions On(const TimePassed& event, base::Instant now);

  bool IsPresent(const base::AttemptId& attempt) const;
  Actions TakeLate(const AttemptView& view, base::Instant now);
  Actions TakeOutput(const AttemptView& view, base::Instant now);
  Actions TakeEnd(const AttemptView& view, base::Instant now);
  Actions Settle(base::Instant now);
  Actions Abandon();
  // Abandons anew if the last abandon was lost long enough ago.
  Actions AbandonAgain(base::Instant now);
  // The present attempt has not run: tries another one or gives up.
  Actions AfterNotRun(const std::string& reason,
                      base::Milliseconds retry_after,
                      base::Instant now);
  // The present attempt may have run, or broke off.
  Actions AfterFailure(const std::string& reason, base::Instant now);
  Actions TryAgain();
  Actions Fail(FailureKind failure,
               const std::string& reason,
               base::Milliseconds retry_after,
               base::Instant now);
  bool MayTryAgain(base::Instant now) const;

  RequestOptions options;
  Phase phase = Phase::kChoosing;
  base::AttemptId present_attempt;
  base::BackendServerId present_backend;
  std::set<base::BackendServerId> tried;
  int32_t attempt_count = 0;
  int64_t next_offset = 0;
  base::Instant settle_until;
  // The agent has been asked to abandon the attempt and hasn't answered.
  bool abandoning = false;
  std::optional<base::Instant> abandon_again_at;
  // The attempt finished before the deadline and is read after it.
  bool reading_late = false;
  AnswerStreamReader stream;
  bool head_delivered = false;
  bool piece_delivered = false;
  // An earlier attempt may have run; then no later failure is "not run".
  bool may_have_run = false;
  // The key was withdrawn; nothing more is started.
  bool withdrawn = false;
  std::string text_so_far;
  int32_t tokens_so_far = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_REQUEST_FLOW_H_
