#include <algorithm>
#include <utility>

#include "request_handler.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;
// Status in metrics and logs of an answer that was broken off or whose caller
// disconnected.
constexpr int kNoStatus = 0;
// Callers honour a Retry-After of up to a third of the time that they have
// left.
constexpr int64_t kRetryAfterDivisor = 3;

}  // namespace

void RequestHandler::Perform(const core::TryAgain& /*step*/) {
  this->Attempt();
}

void RequestHandler::Perform(const core::RefuseAsNotRun& /*step*/) {
  this->Refuse(kUnavailable, "not run", true);
}

void RequestHandler::Perform(const core::AnswerUnknownOutcome& /*step*/) {
  this->Refuse(kBadGateway, "it isn't known whether the request has run",
               false);
}

void RequestHandler::Perform(const core::ForwardFailure& /*step*/) {
  const base::Instant begun = base::Now();
  const int status = this->head.status;
  this->exchange->Respond(
      {platform::EncodeForCaller(this->head), std::move(this->body)});
  this->context.metrics.ObserveFirstAnswer(this->route->name.value,
                                           begun - this->arrived);
  this->context.metrics.ObserveOverhead(this->overhead + (base::Now() - begun));
  this->End(status, "answered");
}

void RequestHandler::Perform(const core::BreakAnswerOff& /*step*/) {
  this->exchange->Abort();
  this->End(kNoStatus, "broken_off");
}

void RequestHandler::OnDeadline() {
  if (this->ended) {
    return;
  }
  if (this->progress.answer_begun) {
    this->exchange->Abort();
    this->End(kNoStatus, "broken_off_at_deadline");
    return;
  }
  if (this->progress.may_have_run) {
    this->Refuse(kTimeout, "no answer within the time allowed", false);
  } else {
    this->Refuse(kUnavailable, "not run within the time allowed", false);
  }
}

void RequestHandler::OnCallerDisconnected() {
  if (this->ended) {
    return;
  }
  this->End(kNoStatus, "caller_left");
}

void RequestHandler::Refuse(int status,
                            const std::string& reason,
                            bool send_retry_after) {
  std::optional<base::Duration> retry_after;
  if (send_retry_after) {
    const base::Duration remaining =
        this->deadline > base::Instant()
            ? this->TimeLeft(base::Now())
            : this->caller.timeout.value_or(base::Milliseconds(1000));
    std::uniform_real_distribution<double> jitter(0.4, 1.0);
    retry_after = std::chrono::duration_cast<base::Duration>(
        std::max(remaining, base::Duration(0)) / kRetryAfterDivisor *
        jitter(this->context.generator));
  }
  this->exchange->Respond(platform::EncodeRefusal(status, reason, retry_after));
  this->End(status, reason);
}

void RequestHandler::End(int status, const std::string& outcome) {
  if (std::exchange(this->ended, true)) {
    return;
  }
  const base::Instant now = base::Now();
  const std::string route_name =
      this->route == nullptr ? "none" : this->route->name.value;
  this->context.metrics.CountAnswer(route_name, status);
  this->context.journal.Write(
      base::LogLevel::kInfo, "request_ended",
      {{"request", this->caller.id.value},
       {"route", route_name},
       {"account", this->account == nullptr ? "" : this->account->name.value},
       {"status", status},
       {"outcome", outcome},
       {"attempts", this->progress.attempts},
       {"may_have_run", this->progress.may_have_run},
       {"framing", this->FramingName()},
       {"events", this->splitter.event_count()},
       {"incomplete_bytes", this->splitter.incomplete().size()},
       {"plan", this->table == nullptr ? 0 : this->table->version()},
       {"age_ms", this->AgeMs(now)}});
  this->deadline_timer.Cancel();
  this->overdue_timer.Cancel();
  if (this->queue_ticket.has_value()) {
    this->context.late_requests.Remove(*this->queue_ticket);
  }
  this->exchange->OnDisconnect(nullptr);
  this->call.reset();
  this->ReleasePrompt();
}

void RequestHandler::CountUsage(base::Instant at) {
  if (this->usage_counted || this->account == nullptr) {
    return;
  }
  this->usage_counted = true;
  GatewayState& state = this->context.state;
  const int64_t window = state.wall_clock.At(at) /
                         base::Duration(state.settings.duties.usage_window);
  state.usage.Count(state.boot, window, this->account->name);
}

std::string RequestHandler::ContentDigest() const {
  const net::Request& request = this->exchange->request();
  const base::ClientAccountId name =
      this->account == nullptr ? base::ClientAccountId{} : this->account->name;
  return core::ContentDigest(name, request.target + '\n' + request.body);
}

void RequestHandler::NoteBrokenAnswer() {
  core::BrokenRequest request{
      this->caller.id, this->ContentDigest(), {}, this->splitter.event_count()};
  if (this->caller.prompt.has_value()) {
    request.parts = core::SharedPartsOf(*this->caller.prompt);
  }
  this->context.state.crash_correlator.NoteBrokenAnswer(
      this->call->plan().backend.id, request, base::Now());
}

void RequestHandler::LogAttemptEnd(const char* kind,
                                   const std::string& reason) {
  const std::string backend =
      this->call == nullptr ? "" : this->call->plan().backend.id.value;
  this->context.metrics.CountAttempt(kind);
  this->context.journal.Write(
      base::LogLevel::kInfo, "attempt_ended",
      {{"request", this->caller.id.value},
       {"backend", backend},
       {"outcome", kind},
       {"reason", reason},
       {"framing", this->FramingName()},
       {"events", this->splitter.event_count()},
       {"incomplete_bytes", this->splitter.incomplete().size()},
       {"age_ms", this->AgeMs(base::Now())}});
}

const char* RequestHandler::FramingName() const {
  return this->head.status == 0 ? "none" : net::NameOf(this->framing);
}

}  // namespace carawayvalve::gateway
