#include <utility>

#include "carawayvalve/core/deadline_fit.h"
#include "request_handler.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kUnavailable = 503;

}  // namespace

void RequestHandler::Attempt() {
  if (!this->AdmitContent()) {
    return;
  }
  const base::Instant now = base::Now();
  const core::PlacementResult result =
      this->context.state.placer.Choose(this->Query(), now);
  if (const auto* none = std::get_if<core::NoBackend>(&result)) {
    this->EndAttempt(core::AttemptNotSent{}, none->reason);
    return;
  }
  const core::Placement& placement = std::get<core::Placement>(result);
  if (!this->FitsDeadline(placement, now) && !this->progress.may_have_run) {
    this->Refuse(kUnavailable, "no backend server can answer in time", true);
    return;
  }
  if (this->MustWait(placement, now)) {
    this->WaitForCapacity(placement);
    return;
  }
  this->Send(placement);
}

bool RequestHandler::FitsDeadline(const core::Placement& placement,
                                  base::Instant now) const {
  return core::FitsDeadline(placement.expected, this->TimeLeft(now));
}

bool RequestHandler::MustWait(const core::Placement& placement,
                              base::Instant now) const {
  const bool late =
      now - this->arrived + placement.expected > this->route->objective;
  return late && this->caller.prompt.has_value() &&
         this->progress.attempts == 0 &&
         !core::MayServeLate(placement.work_ahead);
}

void RequestHandler::WaitForCapacity(const core::Placement& placement) {
  if (!this->MayBeTaken(base::Now())) {
    this->RefuseAtStop();
    return;
  }
  const auto self = this->shared_from_this();
  this->context.journal.Write(
      base::LogLevel::kInfo, "request_waits",
      {{"request", this->caller.id.value},
       {"backend", placement.target.id.value},
       {"expected_ms", base::ToMilliseconds(placement.expected)},
       {"work_ahead_ms", base::ToMilliseconds(placement.work_ahead)},
       {"waiting", this->context.late_requests.size()},
       {"age_ms", this->AgeMs(base::Now())}});
  this->queue_ticket = this->context.late_requests.Add(
      this->Priority(), this->deadline, [self] { return self->TryDispatch(); });
}

bool RequestHandler::TryDispatch() {
  if (this->ended) {
    return true;
  }
  const base::Instant now = base::Now();
  const core::PlacementResult result =
      this->context.state.placer.Choose(this->Query(), now);
  const auto* placement = std::get_if<core::Placement>(&result);
  if (placement != nullptr) {
    if (this->FitsDeadline(*placement, now) &&
        this->MustWait(*placement, now)) {
      return false;
    }
  }
  this->queue_ticket.reset();
  this->Attempt();
  return true;
}

}  // namespace carawayvalve::gateway
