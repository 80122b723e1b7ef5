#include <algorithm>
#include <utility>

#include "carawayvalve/core/duty.h"
#include "request_handler.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
// Status in metrics and logs of an answer that was broken off or whose caller
// disconnected.
constexpr int kNoStatus = 0;
// Callers honour a Retry-After of up to a third of the time that they have
// left.
constexpr int64_t kRetryAfterDivisor = 3;
// A part that crashes backend servers does so when they begin to answer. Of a
// request with more events, no part can be the cause.
constexpr int64_t kMaxEventsOfCrash = 1;

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

void RequestHandler::OnCallerDisconnected() {
  if (this->ended) {
    return;
  }
  this->LogAttemptCutOff("caller_left", "the caller closed the connection");
  this->End(kNoStatus, "caller_left");
}

void RequestHandler::WatchDelivery() {
  this->exchange->KeepUntil(this->deadline);
  // The request usually ends before its caller has received the answer.
  this->exchange->OnUndelivered(
      [&context = this->context, id = this->caller.id,
       arrived = this->arrived](const net::UndeliveredAnswer& answer) {
        const char* end = net::NameOf(answer.end);
        context.metrics.CountUndeliveredAnswer(end);
        context.journal.Write(
            base::LogLevel::kInfo, "answer_undelivered",
            {{"request", id.value},
             {"reason", end},
             {"bytes_left", static_cast<int64_t>(answer.bytes_left)},
             {"age_ms", base::ToMilliseconds(base::Now() - arrived)}});
      });
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
  this->RefuseWith(status, reason, retry_after);
}

void RequestHandler::RefuseWith(int status,
                                const std::string& reason,
                                std::optional<base::Duration> retry_after) {
  this->exchange->Respond(platform::EncodeRefusal(status, reason, retry_after));
  this->End(status, reason);
}

void RequestHandler::End(int status, const std::string& outcome) {
  if (std::exchange(this->ended, true)) {
    return;
  }
  if (!this->progress.may_have_run && !this->prompt_may_have_run) {
    this->RefundAccount();
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
  this->context.live_requests.Remove(this);
  this->deadline_timer.Cancel();
  this->overdue_timer.Cancel();
  if (this->queue_ticket.has_value()) {
    this->context.late_requests.Remove(*this->queue_ticket);
  }
  this->exchange->OnDisconnect(nullptr);
  this->call.reset();
  this->buffered.reset();
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

core::RequestContent RequestHandler::Content() {
  if (this->content_digest.empty()) {
    const net::Request& request = this->exchange->request();
    this->content_digest =
        core::ContentDigest(this->account == nullptr ? base::ClientAccountId{}
                                                     : this->account->name,
                            request.target + '\n' + request.body);
  }
  return {this->content_digest, this->shared_parts};
}

bool RequestHandler::AdmitContent() {
  GatewayState& state = this->context.state;
  if (state.poison_requests.size() == 0 || this->on_trial) {
    return true;
  }
  const auto may_try = [&](const std::string& part) {
    return core::PreferredHolder("trial/" + part, state.live_hosts) ==
           state.settings.host;
  };
  const core::ContentAdmission admission =
      state.poison_requests.Admit(this->Content(), base::Now(), may_try);
  if (admission == core::ContentAdmission::kQuarantined) {
    this->RefuseQuarantined();
    return false;
  }
  this->on_trial = admission == core::ContentAdmission::kOnTrial;
  if (this->on_trial) {
    this->context.journal.Write(base::LogLevel::kInfo, "part_tried",
                                {{"request", this->caller.id.value}});
  }
  return true;
}

void RequestHandler::RefuseQuarantined() {
  if (this->progress.answer_begun || this->progress.may_have_run) {
    this->GiveUp();
    return;
  }
  this->ReleasePrompt();
  this->Refuse(kUnavailable, "backend servers died of this request", false);
}

void RequestHandler::NoteBrokenAnswer() {
  const core::BackendEntry& backend = this->call->plan().backend;
  const int64_t events = this->splitter.event_count() - this->earlier_events;
  core::RequestContent content = this->Content();
  if (events > kMaxEventsOfCrash) {
    content.parts.clear();
  }
  // A trial that breaks off isn't repeated elsewhere.
  this->on_trial = false;
  this->context.state.crash_correlator.NoteBrokenAnswer(
      backend.id, {this->caller.id, std::move(content), events,
                   backend.started_ms, base::Now()});
  this->context.ProbeBackend(backend);
}

void RequestHandler::NoteAnswered() {
  core::PoisonRequestTracker& poison = this->context.state.poison_requests;
  if (poison.size() > 0 &&
      poison.NoteAnswered(this->Content().digest, base::Now())) {
    this->context.on_urgent_news();
  }
}

void RequestHandler::NoteServed() {
  this->NoteAnswered();
  if (this->shared_parts.empty()) {
    return;
  }
  core::PoisonRequestTracker& poison = this->context.state.poison_requests;
  poison.NoteServed(this->shared_parts, base::Now());
  this->context.LogPoisonParts();
}

void RequestHandler::LogAttemptEnd(const char* kind,
                                   const std::string& reason) {
  const std::string backend =
      this->call == nullptr ? "" : this->call->plan().backend.id.value;
  const BackendAnswerProgress answer =
      this->call == nullptr ? BackendAnswerProgress{} : this->call->answer();
  const BackendConnection connection =
      this->call == nullptr ? BackendConnection{} : this->call->connection();
  this->context.metrics.CountAttempt(kind);
  this->context.journal.Write(
      base::LogLevel::kInfo, "attempt_ended",
      {{"request", this->caller.id.value},
       {"backend", backend},
       {"outcome", kind},
       {"reason", reason},
       {"status", answer.status},
       {"received_bytes", answer.bytes},
       {"framing", this->FramingName()},
       {"events", this->splitter.event_count()},
       {"incomplete_bytes", this->splitter.incomplete().size()},
       {"connection", connection.number},
       {"kept_connection", connection.kept},
       {"skipped_answers", connection.skipped_answers},
       {"age_ms", this->AgeMs(base::Now())}});
}

void RequestHandler::LogAttemptCutOff(const char* kind,
                                      const std::string& reason) {
  if (this->call != nullptr) {
    this->LogAttemptEnd(kind, reason);
  }
}

const char* RequestHandler::FramingName() const {
  return this->head.status == 0 ? "none" : net::NameOf(this->framing);
}

}  // namespace carawayvalve::gateway
