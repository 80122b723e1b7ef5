#include <algorithm>
#include <utility>

#include "request_run.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;
// For an answer that was broken off.
constexpr int kNoStatus = 0;
// Callers heed a Retry-After of up to a third of the time that they have left.
constexpr int64_t kRetryAfterParts = 3;

}  // namespace

void RequestRun::Do(const core::TryAgain& /*step*/) {
  this->Attempt();
}

void RequestRun::Do(const core::RefuseAsNotRun& /*step*/) {
  this->Refuse(kUnavailable, "not run", true);
}

void RequestRun::Do(const core::AnswerUnknownOutcome& /*step*/) {
  this->Refuse(kBadGateway, "it isn't known whether the request has run",
               false);
}

void RequestRun::Do(const core::ForwardFailure& /*step*/) {
  const base::Instant begun = base::Now();
  const int status = this->head.status;
  this->exchange->Respond(
      {platform::EncodeForCaller(this->head), std::move(this->body)});
  this->context.metrics.NoteFirstAnswer(this->route->name.value,
                                        begun - this->arrived);
  this->context.metrics.NoteOwnTime(this->own_time + (base::Now() - begun));
  this->End(status, "answered");
}

void RequestRun::Do(const core::BreakAnswerOff& /*step*/) {
  this->exchange->Abort();
  this->End(kNoStatus, "broken_off");
}

void RequestRun::OnDeadline() {
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

void RequestRun::OnGone() {
  if (this->ended) {
    return;
  }
  this->End(kNoStatus, "caller_left");
}

void RequestRun::Refuse(int status, const std::string& reason, bool come_back) {
  std::optional<base::Duration> retry_after;
  if (come_back) {
    const base::Duration left =
        this->deadline > base::Instant()
            ? this->TimeLeft(base::Now())
            : this->caller.timeout.value_or(base::Milliseconds(1000));
    std::uniform_real_distribution<double> spread(0.4, 1.0);
    retry_after = std::chrono::duration_cast<base::Duration>(
        std::max(left, base::Duration(0)) / kRetryAfterParts *
        spread(this->context.generator));
  }
  this->exchange->Respond(platform::EncodeRefusal(status, reason, retry_after));
  this->End(status, reason);
}

void RequestRun::End(int status, const std::string& outcome) {
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
       {"plan", this->table == nullptr ? 0 : this->table->version()},
       {"age_ms", this->AgeMs(now)}});
  this->deadline_timer.Cancel();
  this->overdue_timer.Cancel();
  if (this->place_in_queue.has_value()) {
    this->context.waiting.Leave(*this->place_in_queue);
  }
  this->exchange->OnDisconnect(nullptr);
  this->call.reset();
  this->ReleasePrompt();
}

void RequestRun::CountUsage(base::Instant at) {
  if (this->run_counted || this->account == nullptr) {
    return;
  }
  this->run_counted = true;
  Beliefs& beliefs = this->context.beliefs;
  const int64_t window = beliefs.true_time.At(at) /
                         base::Duration(beliefs.settings.duties.usage_window);
  beliefs.usage.Count(beliefs.boot, window, this->account->name);
}

std::string RequestRun::ContentDigest() const {
  const net::Request& request = this->exchange->request();
  const base::ClientAccountId name =
      this->account == nullptr ? base::ClientAccountId{} : this->account->name;
  return core::ContentDigest(name, request.target + '\n' + request.body);
}

void RequestRun::NoteBrokenContent() {
  this->context.beliefs.crashes.NoteBrokenAnswer(
      this->call->plan().backend.id, this->ContentDigest(), base::Now());
}

void RequestRun::LogAttemptEnd(const char* kind, const std::string& reason) {
  const std::string backend =
      this->call == nullptr ? "" : this->call->plan().backend.id.value;
  this->context.metrics.CountAttempt(kind);
  this->context.journal.Write(base::LogLevel::kInfo, "attempt_ended",
                              {{"request", this->caller.id.value},
                               {"backend", backend},
                               {"outcome", kind},
                               {"reason", reason},
                               {"age_ms", this->AgeMs(base::Now())}});
}

}  // namespace carawayvalve::gateway
