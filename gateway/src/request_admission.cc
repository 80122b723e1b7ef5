#include <utility>

#include "request_handler.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kUnavailable = 503;
// Divides an estimate to get its margin: an estimate may be too short, and it
// leaves out the rest of the answer after the first event.
constexpr int64_t kEstimateMarginDivisor = 2;

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
  if (this->CompetesForRoom()) {
    this->CompeteForRoom(placement, now);
    return;
  }
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
  const base::Duration max_answer_time =
      placement.expected + placement.expected / kEstimateMarginDivisor +
      kMinTimeLeft;
  return max_answer_time <= this->TimeLeft(now);
}

bool RequestHandler::MustWait(const core::Placement& placement,
                              base::Instant now) const {
  return this->IsLate(placement, now) && this->caller.prompt.has_value() &&
         this->progress.attempts == 0 &&
         !core::MayServeLate(placement.work_ahead);
}

bool RequestHandler::IsLate(const core::Placement& placement,
                            base::Instant now) const {
  return now - this->arrived + this->Corrected(placement.expected, now) >
         this->route->objective;
}

base::Duration RequestHandler::Corrected(base::Duration expected,
                                         base::Instant now) const {
  const GatewayState& state = this->context.state;
  if (!state.settings.features.contention || !this->caller.prompt.has_value()) {
    return expected;
  }
  const auto found = state.corrections.find(this->service);
  return found == state.corrections.end()
             ? core::ExpectationCorrection().Correct(expected, now)
             : found->second.Correct(expected, now);
}

void RequestHandler::NoteExpected(const core::Placement& placement) {
  if (!this->expected_sent.has_value()) {
    this->expected_sent = {base::Now(), placement.expected};
  }
}

void RequestHandler::NoteFirstEvent(base::Instant received) {
  if (this->expected_sent.has_value() && this->progress.attempts == 1 &&
      this->failed_prefills == 0 && this->caller.prompt.has_value()) {
    this->context.state.corrections[this->service].Note(
        this->expected_sent->expected, received - this->expected_sent->at,
        received);
  }
}

void RequestHandler::WaitForCapacity(const core::Placement& placement) {
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
  if (const auto* chosen = std::get_if<core::Placement>(&result)) {
    if (this->FitsDeadline(*chosen, now) && this->MustWait(*chosen, now)) {
      return false;
    }
  }
  this->queue_ticket.reset();
  this->Attempt();
  return true;
}

}  // namespace carawayvalve::gateway
