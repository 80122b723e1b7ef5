#include "request_handler.h"

#include <algorithm>
#include <utility>

#include "retry_charge.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

// Urgency sent for the most urgent priority of a route; lower values are left
// for more urgent work.
constexpr int64_t kFirstUrgency = 2;
constexpr int64_t kLastUrgency = 8;
// Urgency of requests that can't meet their objective any more.
constexpr int64_t kLateUrgency = 9;
// Reading from the backend server is paused when the caller has more than this
// many bytes left to read.
constexpr size_t kMaxUnsentBytes = size_t{256} * 1024;
// Time after which a paused answer is resumed.
constexpr base::Milliseconds kResumeInterval(50);
// Mean number of output tokens of a prompt, to estimate the size of its KV
// cache.
constexpr int64_t kMeanOutputTokens = 128;

const char* KindOf(const core::AttemptEnd& end) {
  struct KindVisitor {
    const char* operator()(const core::AttemptNotSent& /*end*/) const {
      return "not_sent";
    }
    const char* operator()(const core::AttemptDeclined& /*end*/) const {
      return "declined";
    }
    const char* operator()(const core::AttemptInterrupted& /*end*/) const {
      return "broken";
    }
    const char* operator()(const core::AttemptFailed& /*end*/) const {
      return "failed";
    }
  };
  return std::visit(KindVisitor(), end);
}

}  // namespace

RequestHandler::RequestHandler(Context& context,
                               std::shared_ptr<net::Exchange> exchange)
    : context(context),
      exchange(std::move(exchange)),
      caller(platform::DecodeCallerRequest(this->exchange->request())),
      table(context.state.table),
      arrived(this->exchange->first_byte_at()),
      continuity(this->caller.after_event),
      deadline_timer(context.loop),
      overdue_timer(context.loop) {
  if (this->caller.prompt.has_value()) {
    this->shared_parts = core::SharedPartsOf(*this->caller.prompt);
  }
}

void RequestHandler::Start() {
  if (this->table == nullptr) {
    this->Refuse(kUnavailable, "no configuration is known yet", true);
    return;
  }
  if (!this->FindRoute() || !this->CheckKey()) {
    return;
  }
  base::Duration timeout = this->route->timeout;
  if (this->caller.timeout.has_value()) {
    timeout = std::min<base::Duration>(timeout, *this->caller.timeout);
  }
  this->deadline = this->arrived + timeout;
  if (!this->MayBeTaken(base::Now())) {
    this->RefuseAtStop();
    return;
  }
  this->service = core::ChooseService(*this->route, this->caller.id.value);
  this->context.state.RetryBudget(this->service).NoteRequest(base::Now());
  if (!this->shared_parts.empty()) {
    this->context.state.poison_requests.NoteRequest(this->shared_parts);
  }
  const auto self = this->shared_from_this();
  this->exchange->OnDisconnect([self] { self->OnCallerDisconnected(); });
  this->WatchDelivery();
  this->StartDeadlineTimer(this->context.state.stop.AnswerBy(this->deadline));
  this->context.live_requests.Add(self);
  this->ChargeAccount();
}

const char* RequestHandler::PhaseName() const {
  if (this->progress.answer_begun) {
    return "answering";
  }
  if (this->call != nullptr) {
    return std::holds_alternative<platform::PrefillOnly>(
               this->call->plan().order.stage)
               ? "prefill"
               : "at_backend";
  }
  return this->queue_ticket.has_value() ? "waiting_for_capacity" : "admission";
}

void RequestHandler::Begin() {
  if (this->IsStream() && this->caller.after_event.has_value()) {
    this->TakeUpStream();
    return;
  }
  this->Attempt();
}

bool RequestHandler::FindRoute() {
  const net::Request& request = this->exchange->request();
  const std::string* host = net::FindField(request.fields, "Host");
  if (host != nullptr) {
    this->route = this->table->FindRoute(*host, request.target);
  }
  if (this->route == nullptr) {
    this->Refuse(kNotFound, "no route leads there", false);
    return false;
  }
  return true;
}

bool RequestHandler::CheckKey() {
  if (this->route->open) {
    return true;
  }
  if (this->caller.key.has_value()) {
    this->account = this->table->FindAccount(*this->caller.key);
  }
  const base::Instant now = base::Now();
  const core::KeyFreshness& key_freshness = this->context.state.key_freshness;
  if (const auto age = key_freshness.Age(now)) {
    this->context.metrics.ObserveStateAge("configuration", *age);
  }
  if (!key_freshness.MayAcceptKeys(now)) {
    this->Refuse(kUnavailable, "the keys may be out of date", true);
    return false;
  }
  if (this->account == nullptr) {
    this->Refuse(kUnauthorized, "no client account has the key", false);
    return false;
  }
  return true;
}

core::RequestRules RequestHandler::Rules() const {
  const config::RequestKind kind = this->route->kind;
  return {kind == config::RequestKind::kIdempotent,
          kind == config::RequestKind::kStream && this->route->resumable &&
              this->continuity.MayContinue(),
          this->route->max_attempts};
}

bool RequestHandler::IsStream() const {
  return this->route->kind == config::RequestKind::kStream;
}

base::Duration RequestHandler::TimeLeft(base::Instant now) const {
  return this->context.state.stop.AnswerBy(this->deadline) - now;
}

int64_t RequestHandler::AgeMs(base::Instant now) const {
  return base::ToMilliseconds(now - this->arrived);
}

core::PlacementQuery RequestHandler::Query() const {
  core::PlacementQuery query;
  query.service = this->service;
  query.prompt =
      this->caller.prompt.has_value() ? &*this->caller.prompt : nullptr;
  query.excluded = this->excluded;
  query.objective = this->route->objective;
  query.may_hand_over = this->may_hand_over;
  query.software_version = this->stream_version;
  query.request = this->caller.id.value;
  return query;
}

void RequestHandler::Send(const core::Placement& placement) {
  if (placement.prefill_only) {
    this->PrefillPrompt(placement);
    return;
  }
  this->Run(placement, platform::FullRun{});
}

int64_t RequestHandler::Priority() const {
  if (this->account != nullptr && this->account->priority.has_value()) {
    return *this->account->priority;
  }
  return this->route->priority;
}

BackendCallPlan RequestHandler::PlanCall(
    const core::Placement& placement,
    const platform::RunStage& stage) const {
  const base::Instant now = base::Now();
  BackendCallPlan plan;
  plan.backend = placement.target;
  plan.order.backend_server = placement.target.id;
  if (placement.copy_from.has_value()) {
    plan.order.copy_from = placement.copy_from->address;
  }
  if (this->account != nullptr) {
    plan.order.account = this->account->name;
  }
  plan.order.time_left = std::chrono::duration_cast<base::Milliseconds>(
      std::max(this->TimeLeft(now), base::Duration(core::kMinTimeLeft)));
  plan.order.stage = stage;
  if (this->progress.answer_begun) {
    plan.order.last_event_id = this->splitter.last_event_id();
  }
  plan.prefill_work = placement.prefill_work;
  plan.requests_ahead = placement.requests_ahead;
  plan.tokens_ahead = placement.tokens_ahead;
  plan.expected = placement.expected;
  plan.at_full_speed = placement.at_full_speed;
  plan.expects_events =
      this->IsStream() && !std::holds_alternative<platform::PrefillOnly>(stage);
  if (this->caller.prompt.has_value()) {
    const bool late =
        now - this->arrived + placement.expected > this->route->objective;
    plan.order.urgency = late ? kLateUrgency
                              : std::clamp(kFirstUrgency + this->Priority(),
                                           kFirstUrgency, kLastUrgency);
    plan.kv_tokens = this->caller.prompt->prompt_tokens + kMeanOutputTokens;
  }
  return plan;
}

void RequestHandler::NotePrefix(const base::BackendServerId& id,
                                bool prefilled) {
  if (!this->caller.prompt.has_value()) {
    return;
  }
  const auto keys = core::PrefixKeysOf(*this->caller.prompt);
  if (keys.empty()) {
    return;
  }
  core::PrefixCacheTracker& prefix_caches = this->context.state.prefix_caches;
  if (prefilled) {
    prefix_caches.NotePrefilled(id, keys);
  } else {
    prefix_caches.NoteSent(id, keys);
  }
  this->context.sent_prefixes.push_back({id, keys, prefilled});
}

void RequestHandler::Run(const core::Placement& placement,
                         const platform::RunStage& stage) {
  const auto self = this->shared_from_this();
  this->head = {};
  this->body.clear();
  this->buffered.emplace(
      this->context.buffers,
      [weak = this->weak_from_this(), attempt = ++this->attempt_number] {
        if (const auto dropped = weak.lock()) {
          dropped->context.loop.Post(
              [dropped, attempt] { dropped->OnAnswerDropped(attempt); });
        }
      });
  this->earlier_events = this->splitter.event_count();
  const base::BackendServerId& id = placement.target.id;
  this->NotePrefix(id, false);
  const base::Instant now = base::Now();
  this->context.metrics.CountPlacement(placement.passed_over_lowest);
  this->context.journal.Write(
      base::LogLevel::kInfo, "attempt_sent",
      {{"request", this->caller.id.value},
       {"backend", id.value},
       {"address", base::PrintAddress(placement.target.address)},
       {"version", placement.target.software_version},
       {"attempt", this->progress.attempts + 1},
       {"missing_tokens", placement.missing_tokens},
       {"expected_ms", base::ToMilliseconds(placement.expected)},
       {"lowest_cost", !placement.passed_over_lowest},
       {"backend_requests", this->context.state.load.LoadOf(id, now).requests},
       {"plan", this->table->version()},
       {"age_ms", this->AgeMs(now)}});
  this->call = std::make_unique<BackendCall>(
      this->context, this->exchange->request(), this->caller,
      this->PlanCall(placement, stage), [self](const BackendEvent& event) {
        if (!self->ended) {
          std::visit([&](const auto& kind) { self->On(kind); }, event);
        }
      });
  this->overdue_timer.Start(BackendCall::FirstDataTimeout(placement.expected),
                            [self] { self->OnOverdue(); });
}

void RequestHandler::On(const BackendRequestSent& /*event*/) {
  ++this->progress.attempts;
  this->earlier_may_have_run = this->progress.may_have_run;
  this->progress.may_have_run = true;
  if (this->progress.attempts == 1) {
    this->overhead = base::Now() - this->exchange->read_at();
  }
}

void RequestHandler::On(const BackendDeclined& event) {
  // This attempt hasn't run, but an earlier one may have.
  this->progress.may_have_run = this->earlier_may_have_run;
  this->EndAttempt(core::AttemptDeclined{},
                   "declined with " + std::to_string(event.status));
}

void RequestHandler::On(const BackendAnswerBegun& event) {
  this->head = event.head;
  this->framing = event.framing;
  // The engine that answers has taken the prefilled prompt.
  this->prefilled_prompt.reset();
  if (!this->IsStream()) {
    this->CountUsage(this->call->sent_at());
  }
  if (!this->AnswersEvents()) {
    return;
  }
  const std::string* type = net::FindField(this->head.fields, "Content-Type");
  const auto fault = this->continuity.BeginRun(
      type == nullptr ? std::nullopt : std::optional(*type));
  if (fault.has_value()) {
    this->RejectAnswer(*fault);
  }
}

void RequestHandler::RejectAnswer(const std::string& reason) {
  this->context.state.health.NoteFailure(this->call->plan().backend.id,
                                         base::Now());
  this->EndAttempt(core::AttemptInterrupted{}, reason);
}

void RequestHandler::On(const BackendAnswerData& event) {
  // Without the server's own head there is nothing to pass on.
  if (this->head.status == 0) {
    return;
  }
  if (this->AnswersEvents()) {
    this->OnEvents(event.data);
    return;
  }
  this->body += event.data;
  this->CountBuffered();
}

void RequestHandler::CountBuffered() {
  if (this->buffered.has_value()) {
    this->buffered->Resize(this->body.size() +
                           this->splitter.incomplete().size());
  }
}

void RequestHandler::OnAnswerDropped(int64_t attempt) {
  if (this->ended || this->call == nullptr || attempt != this->attempt_number) {
    return;
  }
  this->body = {};
  this->RejectAnswer("the answer needs more memory than there is");
}

void RequestHandler::OnEvents(const std::string& data) {
  const base::Instant received = base::Now();
  std::optional<std::string> fault;
  const std::string events =
      this->splitter.Feed(data, [&](std::string_view event) {
        fault = this->continuity.Accept(event);
        return !fault.has_value();
      });
  this->CountBuffered();
  if (!events.empty()) {
    this->SendEvents(events, received);
  }
  if (fault.has_value() && !this->ended && this->call != nullptr) {
    this->RejectAnswer(*fault);
  }
}

void RequestHandler::SendEvents(const std::string& events,
                                base::Instant received) {
  const auto self = this->shared_from_this();
  this->overdue_timer.Start(BackendCall::NextDataTimeout(),
                            [self] { self->OnOverdue(); });
  this->CountUsage(received);
  if (!this->progress.answer_begun) {
    this->progress.answer_begun = true;
    const core::BackendEntry& backend = this->call->plan().backend;
    this->stream_version = backend.software_version;
    if (this->route->resumable) {
      this->NoteStream(backend.software_version);
    }
    this->NotePrefix(backend.id, true);
    this->exchange->Begin(platform::EncodeForCaller(this->head));
    this->context.metrics.ObserveFirstAnswer(this->route->name.value,
                                             received - this->arrived);
  }
  this->exchange->Send(events);
  if (this->ended || this->call == nullptr) {
    return;
  }
  if (this->exchange->unsent_bytes() > kMaxUnsentBytes) {
    this->call->Pause();
    this->overdue_timer.Start(kResumeInterval, [self] {
      if (self->call != nullptr) {
        self->call->Resume();
      }
    });
  }
}

void RequestHandler::On(const BackendAnswerDone& /*event*/) {
  if (this->head.status == 0) {
    this->EndAttempt(core::AttemptInterrupted{},
                     "the answer isn't the backend server's");
    return;
  }
  if (this->AnswersEvents()) {
    if (const auto fault = this->continuity.EndRun()) {
      this->EndAttempt(core::AttemptInterrupted{}, *fault);
      return;
    }
    if (!this->progress.answer_begun) {
      this->progress.answer_begun = true;
      this->exchange->Begin(platform::EncodeForCaller(this->head));
    }
    this->NoteServed();
    this->exchange->Send(this->splitter.incomplete());
    this->exchange->Finish();
    this->End(kSuccess, "answered");
    return;
  }
  this->OnCompleteAnswer();
}

void RequestHandler::OnCompleteAnswer() {
  if (this->progress.answer_begun) {
    // A failure can't follow the events that were already sent to the caller.
    this->EndAttempt(core::AttemptInterrupted{}, "the continued stream failed");
    return;
  }
  if (core::SaysNotRun(this->head.status)) {
    // Its server doesn't say so, as the request wasn't declined.
    this->EndAttempt(core::AttemptInterrupted{},
                     "answered with " + std::to_string(this->head.status));
    return;
  }
  if (this->head.status >= kServerError) {
    this->EndAttempt(core::AttemptFailed{},
                     "failed with " + std::to_string(this->head.status));
    return;
  }
  if (this->head.status == kSuccess) {
    this->NoteServed();
  } else {
    this->NoteAnswered();
  }
  this->Perform(core::ForwardFailure{});
}

void RequestHandler::On(const BackendCallFailed& event) {
  if (event.not_sent) {
    this->OnNotSent(event.reason);
    return;
  }
  if (!this->IsStream()) {
    this->CountUsage(this->call->sent_at());
  }
  this->NoteBrokenAnswer();
  this->EndAttempt(core::AttemptInterrupted{}, event.reason);
}

void RequestHandler::OnOverdue() {
  if (this->ended || this->call == nullptr) {
    return;
  }
  const core::RequestRules rules = this->Rules();
  if (!rules.may_repeat && !rules.may_resume) {
    return;
  }
  core::PlacementQuery query = this->Query();
  query.excluded.insert(this->call->plan().backend.id);
  const base::Instant now = base::Now();
  // A prompt that was prefilled for this attempt is prefilled again.
  const int64_t retries = this->prefilled_once ? 2 : 1;
  const bool can_retry =
      this->progress.attempts < rules.max_attempts &&
      this->context.state.placer.HasAlternative(query, now) &&
      HasRetryBudget(this->context, this->service, retries);
  if (can_retry) {
    this->EndAttempt(core::AttemptInterrupted{},
                     "no answer within the expected time");
    return;
  }
  // Checks again later: a retry may become possible while this attempt is still
  // silent.
  const auto self = this->shared_from_this();
  this->overdue_timer.Start(BackendCall::NextDataTimeout(),
                            [self] { self->OnOverdue(); });
}

void RequestHandler::GiveUp() {
  this->ReleasePrompt();
  std::visit([&](const auto& kind) { this->Perform(kind); },
             core::DecideFinalStep(this->progress));
}

void RequestHandler::EndAttempt(const core::AttemptEnd& end,
                                const std::string& reason) {
  this->overdue_timer.Cancel();
  this->ReleasePrompt();
  this->LogAttemptEnd(KindOf(end), reason);
  if (this->call != nullptr) {
    this->excluded.insert(this->call->plan().backend.id);
    this->call.reset();
  }
  this->splitter.TakeIncomplete();
  this->buffered.reset();
  const base::Instant now = base::Now();
  core::RetryConditions conditions = {
      this->context.state.placer.HasAlternative(this->Query(), now), true,
      this->TimeLeft(now) > core::kMinTimeLeft};
  core::NextStep step =
      core::DecideNextStep(this->Rules(), this->progress, end, conditions);
  if (std::holds_alternative<core::TryAgain>(step) &&
      this->progress.attempts > 0) {
    conditions.budget_left =
        ChargeRetry(this->context, this->service, this->caller.id);
    step = core::DecideNextStep(this->Rules(), this->progress, end, conditions);
  }
  std::visit([&](const auto& kind) { this->Perform(kind); }, step);
}

}  // namespace carawayvalve::gateway
