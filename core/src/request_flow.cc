#include "carawayvalve/core/request_flow.h"

#include <algorithm>

#include "carawayvalve/base/error.h"

namespace carawayvalve::core {

namespace {

using Actions = std::vector<RequestAction>;

constexpr base::Milliseconds kRetryAfterFailure{1000};
// Delay before an abandon is repeated to an agent that doesn't answer.
constexpr base::Milliseconds kAbandonRetryDelay{50};
constexpr const char* kKeyWithdrawn = "the key was withdrawn";

void AddAll(Actions& to, const Actions& from) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

RequestFlow::RequestFlow(const RequestOptions& options) : options(options) {}

Actions RequestFlow::Begin(base::Instant now) {
  if (now >= this->options.deadline) {
    return this->Fail(FailureKind::kNotRun, "the deadline has passed", {}, now);
  }
  return {ChooseBackend{}};
}

Actions RequestFlow::Step(const RequestEvent& event, base::Instant now) {
  if (this->done()) {
    return {};
  }
  return std::visit([&](const auto& kind) { return this->On(kind, now); },
                    event);
}

const char* RequestFlow::phase_name() const {
  switch (this->phase) {
    case Phase::kChoosing:
      return "choosing";
    case Phase::kSubmitting:
      return "submitting";
    case Phase::kReading:
      return "reading";
    case Phase::kSettling:
      return "settling";
    case Phase::kDone:
      return "done";
  }
  return "done";
}

bool RequestFlow::IsCurrent(const base::AttemptId& attempt) const {
  return !attempt.empty() && attempt == this->current_attempt;
}

Actions RequestFlow::On(const BackendChosen& event, base::Instant) {
  if (this->phase != Phase::kChoosing) {
    return {};
  }
  this->phase = Phase::kSubmitting;
  this->current_attempt = event.attempt;
  this->current_backend = event.backend_server;
  this->tried_backends.insert(event.backend_server);
  this->attempt_count += 1;
  this->earlier_tokens = this->tokens_so_far;
  this->next_offset = 0;
  this->stream = AnswerStreamReader();
  return {SubmitAttempt{event.attempt, event.backend_server, this->text_so_far,
                        this->tokens_so_far}};
}

Actions RequestFlow::On(const NoBackendAvailable& event, base::Instant now) {
  if (this->phase != Phase::kChoosing) {
    return {};
  }
  return this->Fail(FailureKind::kNotRun, event.reason, event.retry_after, now);
}

Actions RequestFlow::On(const SubmitAccepted& event, base::Instant) {
  if (this->IsCurrent(event.attempt) && this->phase == Phase::kSubmitting) {
    this->phase = Phase::kReading;
    if (this->withdrawn) {
      return this->Abandon();
    }
  }
  return {};
}

Actions RequestFlow::On(const SubmitRefused& event, base::Instant now) {
  if (!this->IsCurrent(event.attempt) || this->phase != Phase::kSubmitting) {
    return {};
  }
  return this->HandleNotRun(event.reason, event.retry_after, now);
}

Actions RequestFlow::On(const SubmitUnanswered& event, base::Instant now) {
  if (!this->IsCurrent(event.attempt)) {
    return {};
  }
  if (this->phase == Phase::kSubmitting) {
    return this->Settle(now);
  }
  // An unanswered abandon is repeated until the agent answers.
  if (this->abandon_pending) {
    this->next_abandon_at = now + kAbandonRetryDelay;
  }
  return this->On(RequestTick{}, now);
}

Actions RequestFlow::On(const AttemptViewReceived& event, base::Instant now) {
  if (!this->IsCurrent(event.attempt) || this->phase == Phase::kChoosing) {
    return {};
  }
  switch (event.view.phase) {
    case AttemptPhase::kQueued:
      return {};
    case AttemptPhase::kNotRun:
      return this->HandleNotRun(event.view.reason, kRetryAfterFailure, now);
    case AttemptPhase::kUnknown:
      // The agent may not have received the submission yet.
      if (this->phase == Phase::kSubmitting) {
        return {};
      }
      return this->HandleFailure("the agent has restarted", now);
    case AttemptPhase::kRunning:
    case AttemptPhase::kFinished:
      this->abandon_pending = false;
      break;
  }
  if (now >= this->options.deadline) {
    return this->HandleViewAfterDeadline(event.view, now);
  }
  this->phase = Phase::kReading;
  return this->DeliverOutput(event.view, now);
}

Actions RequestFlow::On(const BackendLost& event, base::Instant now) {
  if (!this->IsCurrent(event.attempt) || this->phase == Phase::kChoosing) {
    return {};
  }
  return this->HandleFailure(event.reason, now);
}

Actions RequestFlow::On(const CallerDisconnected&, base::Instant now) {
  return this->Fail(FailureKind::kUnknownOutcome, "the caller has gone", {},
                    now);
}

Actions RequestFlow::On(const PermissionWithdrawn&, base::Instant now) {
  // Only a request that hasn't started is refused; a running one finishes.
  this->withdrawn = true;
  if (this->phase == Phase::kChoosing) {
    return this->Fail(FailureKind::kNotRun, kKeyWithdrawn, {}, now);
  }
  if (this->phase == Phase::kReading && !this->chunk_delivered &&
      !this->head_delivered) {
    return this->Abandon();
  }
  return {};
}

Actions RequestFlow::On(const AnswerBy& event, base::Instant now) {
  // An attempt must be settled by then.
  this->options.deadline =
      std::min(this->options.deadline, event.at - this->options.settle_time);
  return this->On(RequestTick{}, now);
}

Actions RequestFlow::On(const RequestTick&, base::Instant now) {
  if (this->phase == Phase::kSettling && now >= this->settle_until) {
    return this->HandleFailure("the agent gave no answer", now);
  }
  if (now < this->options.deadline || this->phase == Phase::kSettling) {
    return this->RetryAbandon(now);
  }
  if (this->phase == Phase::kChoosing) {
    return this->Fail(FailureKind::kNotRun, "the deadline has passed", {}, now);
  }
  if (this->chunk_delivered || this->head_delivered) {
    return this->Fail(FailureKind::kIncomplete, "the deadline has passed", {},
                      now);
  }
  return this->Settle(now);
}

// After the deadline, only the output of a finished attempt is still read.
Actions RequestFlow::HandleViewAfterDeadline(const AttemptView& view,
                                             base::Instant now) {
  if (view.phase == AttemptPhase::kRunning) {
    return this->HandleFailure("the deadline has passed", now);
  }
  if (this->phase != Phase::kSettling) {
    this->phase = Phase::kSettling;
    this->settle_until = now + this->options.settle_time;
  }
  this->reading_after_deadline = true;
  return this->DeliverOutput(view, now);
}

Actions RequestFlow::DeliverOutput(const AttemptView& view, base::Instant now) {
  const auto size = static_cast<int64_t>(view.bytes.size());
  if (view.offset > this->next_offset) {
    return this->HandleFailure("part of the answer was lost", now);
  }
  if (view.offset + size < this->next_offset) {
    return {};  // a late view of older output
  }
  const std::string new_bytes =
      view.bytes.substr(static_cast<size_t>(this->next_offset - view.offset));
  this->next_offset = view.offset + size;

  std::vector<AnswerRecord> records;
  try {
    records = this->stream.Feed(new_bytes);
  } catch (const base::Error& error) {
    return this->HandleFailure(error.what(), now);
  }
  Actions actions;
  for (AnswerRecord& record : records) {
    if (const auto* chunk = std::get_if<AnswerChunk>(&record)) {
      this->chunk_delivered = true;
      if (this->options.continuable) {
        this->text_so_far += chunk->bytes;
        this->tokens_so_far += 1;
      }
    }
    if (std::holds_alternative<AnswerHead>(record)) {
      this->head_delivered = true;
    }
    if (auto* end = std::get_if<AnswerEnd>(&record);
        end != nullptr && this->options.continuable) {
      // The engine counts only its own tokens, not those of earlier attempts.
      end->output_tokens = this->tokens_so_far;
    }
    actions.push_back(DeliverRecord{record});
    if (std::holds_alternative<AnswerEnd>(record)) {
      this->phase = Phase::kDone;
      actions.push_back(FinishRequest{.whole = true, .reason = {}});
      return actions;
    }
  }
  if (view.last) {
    AddAll(actions, this->HandleIncompleteEnd(view, now));
  }
  return actions;
}

// The attempt has ended without the AnswerEnd that completes its answer.
Actions RequestFlow::HandleIncompleteEnd(const AttemptView& view,
                                         base::Instant now) {
  return this->HandleFailure(
      view.reason.empty() ? "the answer broke off" : view.reason, now);
}

Actions RequestFlow::Settle(base::Instant now) {
  this->phase = Phase::kSettling;
  this->settle_until = now + this->options.settle_time;
  return this->Abandon();
}

Actions RequestFlow::Abandon() {
  this->abandon_pending = true;
  this->next_abandon_at.reset();
  return {AbandonAttempt{this->current_attempt, this->current_backend}};
}

Actions RequestFlow::RetryAbandon(base::Instant now) {
  if (!this->abandon_pending || !this->next_abandon_at ||
      now < *this->next_abandon_at) {
    return {};
  }
  return this->Abandon();
}

Actions RequestFlow::HandleNotRun(const std::string& reason,
                                  base::Milliseconds retry_after,
                                  base::Instant now) {
  if (this->MayTryAgain(now)) {
    return this->TryAgain();
  }
  return this->Fail(FailureKind::kNotRun,
                    this->withdrawn ? kKeyWithdrawn : reason, retry_after, now);
}

Actions RequestFlow::HandleFailure(const std::string& reason,
                                   base::Instant now) {
  this->may_have_run = true;
  const bool nothing_delivered =
      !this->head_delivered && !this->chunk_delivered;
  const bool may_repeat = this->options.idempotent &&
                          (nothing_delivered || this->options.continuable);
  if (may_repeat && this->MayTryAgain(now)) {
    Actions actions = {
        CancelAttempt{this->current_attempt, this->current_backend}};
    AddAll(actions, this->TryAgain());
    return actions;
  }
  return this->Fail(nothing_delivered ? FailureKind::kUnknownOutcome
                                      : FailureKind::kIncomplete,
                    reason, kRetryAfterFailure, now);
}

Actions RequestFlow::TryAgain() {
  this->phase = Phase::kChoosing;
  this->abandon_pending = false;
  this->reading_after_deadline = false;
  this->current_attempt = {};
  return {ChooseBackend{this->tried_backends, true}};
}

Actions RequestFlow::Fail(FailureKind failure,
                          const std::string& reason,
                          base::Milliseconds retry_after,
                          base::Instant now) {
  Actions actions;
  if (!this->current_attempt.empty()) {
    actions.push_back(
        CancelAttempt{this->current_attempt, this->current_backend});
  }
  if (failure == FailureKind::kNotRun && this->may_have_run) {
    failure = FailureKind::kUnknownOutcome;
  }
  if (this->head_delivered || this->chunk_delivered) {
    failure = FailureKind::kIncomplete;
  }
  this->phase = Phase::kDone;
  actions.push_back(
      FinishRequest{.whole = false,
                    .failure = failure,
                    .reason = reason,
                    .retry_after = retry_after,
                    .deadline_passed = now >= this->options.deadline});
  return actions;
}

bool RequestFlow::MayTryAgain(base::Instant now) const {
  return !this->withdrawn && this->attempt_count < this->options.max_attempts &&
         now < this->options.deadline;
}

}  // namespace carawayvalve::core
