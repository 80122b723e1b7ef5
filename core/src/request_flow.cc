#include "carawayvalve/core/request_flow.h"

#include <algorithm>

#include "carawayvalve/base/error.h"

namespace carawayvalve::core {

namespace {

using Actions = std::vector<RequestAction>;

constexpr base::Milliseconds kRetryAfterFailure{1000};
// Between two abandons of an attempt whose agent doesn't answer.
constexpr base::Milliseconds kAbandonPause{50};
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

bool RequestFlow::IsPresent(const base::AttemptId& attempt) const {
  return !attempt.empty() && attempt == this->present_attempt;
}

Actions RequestFlow::On(const BackendChosen& event, base::Instant) {
  if (this->phase != Phase::kChoosing) {
    return {};
  }
  this->phase = Phase::kSubmitting;
  this->present_attempt = event.attempt;
  this->present_backend = event.backend_server;
  this->tried.insert(event.backend_server);
  this->attempt_count += 1;
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
  if (this->IsPresent(event.attempt) && this->phase == Phase::kSubmitting) {
    this->phase = Phase::kReading;
    if (this->withdrawn) {
      return this->Abandon();
    }
  }
  return {};
}

Actions RequestFlow::On(const SubmitRefused& event, base::Instant now) {
  if (!this->IsPresent(event.attempt) || this->phase != Phase::kSubmitting) {
    return {};
  }
  return this->AfterNotRun(event.reason, event.retry_after, now);
}

Actions RequestFlow::On(const SubmitLost& event, base::Instant now) {
  if (!this->IsPresent(event.attempt)) {
    return {};
  }
  if (this->phase == Phase::kSubmitting) {
    return this->Settle(now);
  }
  // An abandon was lost: ask again until it is answered.
  if (this->abandoning) {
    this->abandon_again_at = now + kAbandonPause;
  }
  return this->On(TimePassed{}, now);
}

Actions RequestFlow::On(const AttemptViewReceived& event, base::Instant now) {
  if (!this->IsPresent(event.attempt) || this->phase == Phase::kChoosing) {
    return {};
  }
  switch (event.view.phase) {
    case AttemptPhase::kQueued:
      return {};
    case AttemptPhase::kNotRun:
      return this->AfterNotRun(event.view.reason, kRetryAfterFailure, now);
    case AttemptPhase::kUnknown:
      // A submission still under way isn't known yet.
      if (this->phase == Phase::kSubmitting) {
        return {};
      }
      return this->AfterFailure("the agent has restarted", now);
    case AttemptPhase::kRunning:
    case AttemptPhase::kFinished:
      this->abandoning = false;
      break;
  }
  if (now >= this->options.deadline) {
    return this->TakeLate(event.view, now);
  }
  this->phase = Phase::kReading;
  return this->TakeOutput(event.view, now);
}

Actions RequestFlow::On(const BackendLost& event, base::Instant now) {
  if (!this->IsPresent(event.attempt) || this->phase == Phase::kChoosing) {
    return {};
  }
  return this->AfterFailure(event.reason, now);
}

Actions RequestFlow::On(const CallerDisconnected&, base::Instant now) {
  return this->Fail(FailureKind::kUnknownOutcome, "the caller has gone", {},
                    now);
}

Actions RequestFlow::On(const PermissionWithdrawn&, base::Instant now) {
  // Only what hasn't started is refused; a running request finishes.
  this->withdrawn = true;
  if (this->phase == Phase::kChoosing) {
    return this->Fail(FailureKind::kNotRun, kKeyWithdrawn, {}, now);
  }
  if (this->phase == Phase::kReading && !this->piece_delivered &&
      !this->head_delivered) {
    return this->Abandon();
  }
  return {};
}

Actions RequestFlow::On(const TimePassed&, base::Instant now) {
  if (this->phase == Phase::kSettling && now >= this->settle_until) {
    return this->AfterFailure("the agent gave no answer", now);
  }
  if (now < this->options.deadline || this->phase == Phase::kSettling) {
    return this->AbandonAgain(now);
  }
  if (this->phase == Phase::kChoosing) {
    return this->Fail(FailureKind::kNotRun, "the deadline has passed", {}, now);
  }
  if (this->piece_delivered || this->head_delivered) {
    return this->Fail(FailureKind::kIncomplete, "the deadline has passed", {},
                      now);
  }
  return this->Settle(now);
}

// After the deadline only an answer that is there already is waited for.
Actions RequestFlow::TakeLate(const AttemptView& view, base::Instant now) {
  if (view.phase == AttemptPhase::kRunning) {
    return this->AfterFailure("the deadline has passed", now);
  }
  if (this->phase != Phase::kSettling) {
    this->phase = Phase::kSettling;
    this->settle_until = now + this->options.settle_time;
  }
  this->reading_late = true;
  return this->TakeOutput(view, now);
}

Actions RequestFlow::TakeOutput(const AttemptView& view, base::Instant now) {
  const auto size = static_cast<int64_t>(view.bytes.size());
  if (view.offset > this->next_offset) {
    return this->AfterFailure("part of the answer was lost", now);
  }
  if (view.offset + size < this->next_offset) {
    return {};  // an older reading that arrived late
  }
  const std::string fresh =
      view.bytes.substr(static_cast<size_t>(this->next_offset - view.offset));
  this->next_offset = view.offset + size;

  std::vector<AnswerRecord> records;
  try {
    records = this->stream.Feed(fresh);
  } catch (const base::Error& error) {
    return this->AfterFailure(error.what(), now);
  }
  Actions actions;
  for (AnswerRecord& record : records) {
    if (const auto* piece = std::get_if<AnswerChunk>(&record)) {
      this->piece_delivered = true;
      if (this->options.continuable) {
        this->text_so_far += piece->bytes;
        this->tokens_so_far += 1;
      }
    }
    if (std::holds_alternative<AnswerHead>(record)) {
      this->head_delivered = true;
    }
    if (auto* end = std::get_if<AnswerEnd>(&record);
        end != nullptr && this->options.continuable) {
      // The engine counts its own tokens only, not those of earlier attempts.
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
    AddAll(actions, this->TakeEnd(view, now));
  }
  return actions;
}

// The attempt is over, without the record that would make its answer whole.
Actions RequestFlow::TakeEnd(const AttemptView& view, base::Instant now) {
  return this->AfterFailure(
      view.reason.empty() ? "the answer broke off" : view.reason, now);
}

Actions RequestFlow::Settle(base::Instant now) {
  this->phase = Phase::kSettling;
  this->settle_until = now + this->options.settle_time;
  return this->Abandon();
}

Actions RequestFlow::Abandon() {
  this->abandoning = true;
  this->abandon_again_at.reset();
  return {AbandonAttempt{this->present_attempt, this->present_backend}};
}

Actions RequestFlow::AbandonAgain(base::Instant now) {
  if (!this->abandoning || !this->abandon_again_at ||
      now < *this->abandon_again_at) {
    return {};
  }
  return this->Abandon();
}

Actions RequestFlow::AfterNotRun(const std::string& reason,
                                 base::Milliseconds retry_after,
                                 base::Instant now) {
  if (this->MayTryAgain(now)) {
    return this->TryAgain();
  }
  return this->Fail(FailureKind::kNotRun,
                    this->withdrawn ? kKeyWithdrawn : reason, retry_after, now);
}

Actions RequestFlow::AfterFailure(const std::string& reason,
                                  base::Instant now) {
  this->may_have_run = true;
  const bool nothing_delivered =
      !this->head_delivered && !this->piece_delivered;
  const bool may_repeat =
      this->options.idempotent && (nothing_delivered || this->options.continuable);
  if (may_repeat && this->MayTryAgain(now)) {
    Actions actions = {
        CancelAttempt{this->present_attempt, this->present_backend}};
    AddAll(actions, this->TryAgain());
    return actions;
  }
  return this->Fail(nothing_delivered ? FailureKind::kUnknownOutcome
                                      : FailureKind::kIncomplete,
                    reason, kRetryAfterFailure, now);
}

Actions RequestFlow::TryAgain() {
  this->phase = Phase::kChoosing;
  this->abandoning = false;
  this->reading_late = false;
  this->present_attempt = {};
  return {ChooseBackend{this->tried, true}};
}

Actions RequestFlow::Fail(FailureKind failure,
                          const std::string& reason,
                          base::Milliseconds retry_after,
                          base::Instant now) {
  Actions actions;
  if (!this->present_attempt.empty()) {
    actions.push_back(
        CancelAttempt{this->present_attempt, this->present_backend});
  }
  if (failure == FailureKind::kNotRun && this->may_have_run) {
    failure = FailureKind::kUnknownOutcome;
  }
  if (this->head_delivered || this->piece_delivered) {
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
