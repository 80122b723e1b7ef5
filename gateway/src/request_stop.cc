#include "request_handler.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kUnavailable = 503;
// Status in metrics and logs of an answer that was broken off.
constexpr int kNoStatus = 0;
constexpr int kTimeout = 504;
// Backend servers stop work at the deadline and report how it ended; the
// gateway waits this much longer for their answer.
constexpr base::Milliseconds kDeadlineGrace(80);

}  // namespace

bool RequestHandler::MayBeTaken(base::Instant now) const {
  return this->context.state.stop.MayTake(this->deadline + kDeadlineGrace, now);
}

void RequestHandler::RefuseAtStop() {
  this->Refuse(kUnavailable, "this gateway stops before the deadline", false);
}

void RequestHandler::OnStop() {
  if (this->ended) {
    return;
  }
  const base::Instant now = base::Now();
  if (this->queue_ticket.has_value() && !this->MayBeTaken(now)) {
    this->RefuseAtStop();
    return;
  }
  this->StartDeadlineTimer(this->context.state.stop.AnswerBy(this->deadline));
}

void RequestHandler::StartDeadlineTimer(base::Instant at) {
  this->deadline_timer.Start(
      at - base::Now() + kDeadlineGrace,
      [self = this->shared_from_this()] { self->OnDeadline(); });
}

void RequestHandler::OnDeadline() {
  if (this->ended) {
    return;
  }
  if (this->progress.answer_begun) {
    if (base::Now() < this->deadline) {
      // Only a stop is near: the answer goes on for as long as the process.
      this->StartDeadlineTimer(this->deadline);
      return;
    }
    this->LogAttemptCutOff("deadline", "the request's deadline has passed");
    this->exchange->Abort();
    this->End(kNoStatus, "broken_off_at_deadline");
    return;
  }
  if (base::Now() < this->deadline) {
    this->LogAttemptCutOff("stop", "this gateway stops");
  } else {
    this->LogAttemptCutOff("deadline", "the request's deadline has passed");
  }
  if (this->progress.may_have_run) {
    this->Refuse(kTimeout, "no answer within the time allowed", false);
  } else {
    this->Refuse(kUnavailable, "not run within the time allowed", false);
  }
}

}  // namespace carawayvalve::gateway
