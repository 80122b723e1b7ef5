#include "request_run.h"

#include <algorithm>
#include <utility>

#include "retry_charge.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

// Backend servers end work at the deadline and say so; their word is awaited
// for this long.
constexpr base::Milliseconds kDeadlineSlack(80);
// A request with less time left isn't sent on.
constexpr base::Milliseconds kLeastTime(20);
// An estimate may be short by this part of itself, and by what the answer takes
// after its first event.
constexpr int64_t kEstimateParts = 2;
// The most urgent priority of a route is sent as this urgency, so that there
// is room for more urgent work.
constexpr int64_t kFirstUrgency = 2;
constexpr int64_t kLastUrgency = 8;
// For requests that can't be on time any more.
constexpr int64_t kLateUrgency = 9;
// A caller that doesn't read its answer makes its backend server wait beyond
// this many bytes.
constexpr size_t kMaxUnsentBytes = size_t{256} * 1024;
// How often an answer that waits for its caller is looked at.
constexpr base::Milliseconds kUnsentInterval(50);
// Events that a model makes of one prompt on average, for its KV cache.
constexpr int64_t kOutputTokens = 128;

const char* KindOf(const core::AttemptEnd& end) {
  struct Namer {
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
  return std::visit(Namer(), end);
}

}  // namespace

RequestRun::RequestRun(Context& context,
                       std::shared_ptr<net::Exchange> exchange)
    : context(context),
      exchange(std::move(exchange)),
      caller(platform::DecodeCallerRequest(this->exchange->request())),
      table(context.beliefs.table),
      arrived(this->exchange->first_byte()),
      deadline_timer(context.loop),
      overdue_timer(context.loop) {}

void RequestRun::Start() {
  if (this->table == nullptr) {
    this->Refuse(kUnavailable, "no configuration is known yet", true);
    return;
  }
  if (!this->FindRoute() || !this->CheckKey() || !this->CheckContent()) {
    return;
  }
  base::Duration patience = this->route->timeout;
  if (this->caller.timeout.has_value()) {
    patience = std::min<base::Duration>(patience, *this->caller.timeout);
  }
  this->deadline = this->arrived + patience;
  this->service = core::ChooseService(*this->route, this->caller.id.value);
  this->context.beliefs.Retries(this->service).NoteRequest(base::Now());
  const auto self = this->shared_from_this();
  this->exchange->OnGone([self] { self->OnGone(); });
  this->deadline_timer.Start(this->TimeLeft(base::Now()) + kDeadlineSlack,
                             [self] { self->OnDeadline(); });
  this->Attempt();
}

bool RequestRun::FindRoute() {
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

bool RequestRun::CheckKey() {
  if (this->route->open) {
    return true;
  }
  if (this->caller.key.has_value()) {
    this->account = this->table->FindAccount(*this->caller.key);
  }
  const base::Instant now = base::Now();
  const core::KeyFreshness& freshness = this->context.beliefs.freshness;
  if (const auto age = freshness.Age(now)) {
    this->context.metrics.NoteBeliefAge("configuration", *age);
  }
  if (!freshness.MayAcceptKeys(now)) {
    this->Refuse(kUnavailable, "the keys may be out of date", true);
    return false;
  }
  if (this->account == nullptr) {
    this->Refuse(kUnauthorized, "no client account has the key", false);
    return false;
  }
  return true;
}

bool RequestRun::CheckContent() {
  core::PoisonRequestTracker& suspects = this->context.beliefs.suspects;
  if (suspects.size() == 0) {
    return true;
  }
  if (!suspects.QuarantineLeft(this->ContentDigest(), base::Now())
           .has_value()) {
    return true;
  }
  this->Refuse(kUnavailable, "backend servers died of this request", false);
  return false;
}

core::RequestRules RequestRun::Rules() const {
  const config::RequestKind kind = this->route->kind;
  return {kind == config::RequestKind::kIdempotent,
          kind == config::RequestKind::kStream && this->route->resumable,
          this->route->max_attempts};
}

bool RequestRun::IsStream() const {
  return this->route->kind == config::RequestKind::kStream;
}

base::Duration RequestRun::TimeLeft(base::Instant now) const {
  return this->deadline - now;
}

int64_t RequestRun::AgeMs(base::Instant now) const {
  return base::ToMilliseconds(now - this->arrived);
}

core::PlacementQuery RequestRun::Query() const {
  core::PlacementQuery query;
  query.service = this->service;
  query.prompt =
      this->caller.prompt.has_value() ? &*this->caller.prompt : nullptr;
  query.excluded = this->excluded;
  query.objective = this->route->objective;
  query.may_hand_over = this->may_hand_over;
  return query;
}

void RequestRun::Attempt() {
  const base::Instant now = base::Now();
  const core::PlacementResult result =
      this->context.beliefs.placer.Choose(this->Query(), now);
  if (const auto* none = std::get_if<core::NoBackend>(&result)) {
    this->GoOn(core::AttemptNotSent{}, none->reason);
    return;
  }
  const core::Placement& placement = std::get<core::Placement>(result);
  if (!this->FitsIn(placement, now) && !this->progress.may_have_run) {
    this->Refuse(kUnavailable, "no backend server can answer in time", true);
    return;
  }
  if (this->MustWait(placement, now)) {
    this->Wait(placement);
    return;
  }
  this->Send(placement);
}

bool RequestRun::FitsIn(const core::Placement& placement,
                        base::Instant now) const {
  const base::Duration most =
      placement.expected + placement.expected / kEstimateParts + kLeastTime;
  return most <= this->TimeLeft(now);
}

bool RequestRun::MustWait(const core::Placement& placement,
                          base::Instant now) const {
  const bool late =
      now - this->arrived + placement.expected > this->route->objective;
  return late && this->caller.prompt.has_value() &&
         this->progress.attempts == 0 &&
         !core::MayServeLate(placement.work_ahead);
}

void RequestRun::Wait(const core::Placement& placement) {
  const auto self = this->shared_from_this();
  this->context.journal.Write(
      base::LogLevel::kInfo, "request_waits",
      {{"request", this->caller.id.value},
       {"backend", placement.target.id.value},
       {"expected_ms", base::ToMilliseconds(placement.expected)},
       {"work_ahead_ms", base::ToMilliseconds(placement.work_ahead)},
       {"waiting", this->context.waiting.size()},
       {"age_ms", this->AgeMs(base::Now())}});
  this->place_in_queue = this->context.waiting.Enter(
      this->Priority(), this->deadline, [self] { return self->TryToLeave(); });
}

bool RequestRun::TryToLeave() {
  if (this->ended) {
    return true;
  }
  const base::Instant now = base::Now();
  const core::PlacementResult result =
      this->context.beliefs.placer.Choose(this->Query(), now);
  const auto* placement = std::get_if<core::Placement>(&result);
  if (placement != nullptr) {
    if (this->FitsIn(*placement, now) && this->MustWait(*placement, now)) {
      return false;
    }
  }
  this->place_in_queue.reset();
  this->Attempt();
  return true;
}

void RequestRun::Send(const core::Placement& placement) {
  if (placement.prefill_only) {
    this->ReadPrompt(placement);
    return;
  }
  this->Run(placement, platform::WholeRun{});
}

int64_t RequestRun::Priority() const {
  if (this->account != nullptr && this->account->priority.has_value()) {
    return *this->account->priority;
  }
  return this->route->priority;
}

BackendCallPlan RequestRun::PlanCall(const core::Placement& placement,
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
      std::max(this->TimeLeft(now), base::Duration(kLeastTime)));
  plan.order.stage = stage;
  if (this->progress.answer_begun) {
    plan.order.last_event_id = this->cutter.last_event_id();
  }
  plan.reading_work = placement.prefill_work;
  plan.expected = placement.expected;
  plan.at_full_speed = placement.at_full_speed;
  if (this->caller.prompt.has_value()) {
    const bool late =
        now - this->arrived + placement.expected > this->route->objective;
    plan.order.urgency = late ? kLateUrgency
                              : std::clamp(kFirstUrgency + this->Priority(),
                                           kFirstUrgency, kLastUrgency);
    plan.kv_tokens = this->caller.prompt->prompt_tokens + kOutputTokens;
  }
  return plan;
}

void RequestRun::NotePrefix(const base::BackendServerId& id, bool read) {
  if (!this->caller.prompt.has_value()) {
    return;
  }
  const auto keys = core::PrefixKeysOf(*this->caller.prompt);
  if (keys.empty()) {
    return;
  }
  core::PrefixCacheTracker& homes = this->context.beliefs.homes;
  if (read) {
    homes.NotePrefilled(id, keys);
  } else {
    homes.NoteSent(id, keys);
  }
  this->context.sent_prefixes.push_back({id, keys, read});
}

void RequestRun::Run(const core::Placement& placement,
                     const platform::RunStage& stage) {
  const auto self = this->shared_from_this();
  this->head = {};
  this->body.clear();
  const base::BackendServerId& id = placement.target.id;
  this->NotePrefix(id, false);
  const base::Instant now = base::Now();
  this->context.journal.Write(
      base::LogLevel::kInfo, "attempt_sent",
      {{"request", this->caller.id.value},
       {"backend", id.value},
       {"attempt", this->progress.attempts + 1},
       {"missing_tokens", placement.missing_tokens},
       {"expected_ms", base::ToMilliseconds(placement.expected)},
       {"backend_requests", this->context.beliefs.load.LoadOf(id, now).requests},
       {"plan", this->table->version()},
       {"age_ms", this->AgeMs(now)}});
  this->call = std::make_unique<BackendCall>(
      this->context, this->exchange->request(), this->caller,
      this->PlanCall(placement, stage), [self](const BackendEvent& event) {
        if (!self->ended) {
          std::visit([&](const auto& kind) { self->On(kind); }, event);
        }
      });
  this->overdue_timer.Start(BackendCall::FirstPatience(placement.expected),
                            [self] { self->OnOverdue(); });
}

void RequestRun::On(const BackendGotRequest& /*event*/) {
  ++this->progress.attempts;
  this->earlier_may_have_run = this->progress.may_have_run;
  this->progress.may_have_run = true;
  if (this->progress.attempts == 1) {
    this->own_time = base::Now() - this->exchange->read_at();
  }
}

void RequestRun::On(const BackendDeclined& event) {
  // Only this attempt hasn't run; an earlier one may have.
  this->progress.may_have_run = this->earlier_may_have_run;
  this->GoOn(core::AttemptDeclined{},
             "declined with " + std::to_string(event.status));
}

void RequestRun::On(const BackendAnswerBegun& event) {
  this->head = event.head;
  // A handle is taken by the run that answers.
  this->held_prompt.reset();
  if (!this->IsStream()) {
    this->CountUsage(this->call->sent_at());
  }
}

void RequestRun::On(const BackendAnswerData& event) {
  if (this->IsStream() && this->head.status == kOk) {
    this->OnEvents(event.data);
    return;
  }
  this->body += event.data;
}

void RequestRun::OnEvents(const std::string& data) {
  const base::Instant received = base::Now();
  const std::string events = this->cutter.Feed(data);
  if (events.empty()) {
    return;
  }
  const auto self = this->shared_from_this();
  this->overdue_timer.Start(BackendCall::NextPatience(),
                            [self] { self->OnOverdue(); });
  this->CountUsage(received);
  if (!this->progress.answer_begun) {
    this->progress.answer_begun = true;
    this->NotePrefix(this->call->plan().backend.id, true);
    this->exchange->Begin(platform::EncodeForCaller(this->head));
    this->context.metrics.NoteFirstAnswer(this->route->name.value,
                                          received - this->arrived);
  }
  this->exchange->Send(events);
  if (this->ended || this->call == nullptr) {
    return;
  }
  if (this->exchange->unsent() > kMaxUnsentBytes) {
    this->call->Pause();
    this->overdue_timer.Start(kUnsentInterval, [self] {
      if (self->call != nullptr) {
        self->call->Resume();
      }
    });
  }
}

void RequestRun::On(const BackendAnswerDone& /*event*/) {
  if (this->head.status == 0) {
    this->GoOn(core::AttemptInterrupted{},
               "the answer isn't the backend server's");
    return;
  }
  if (this->IsStream() && this->head.status == kOk) {
    if (!this->progress.answer_begun) {
      this->progress.answer_begun = true;
      this->exchange->Begin(platform::EncodeForCaller(this->head));
    }
    this->exchange->Send(this->cutter.TakeIncomplete());
    this->exchange->Finish();
    this->End(kOk, "answered");
    return;
  }
  this->OnWholeAnswer();
}

void RequestRun::OnWholeAnswer() {
  if (this->progress.answer_begun) {
    // A failure can't be put behind the events that the caller has.
    this->GoOn(core::AttemptInterrupted{}, "the continued stream failed");
    return;
  }
  if (this->head.status >= kServerError) {
    this->GoOn(core::AttemptFailed{},
               "failed with " + std::to_string(this->head.status));
    return;
  }
  this->Do(core::ForwardFailure{});
}

void RequestRun::On(const BackendBroken& event) {
  if (event.not_sent) {
    this->OnNotSent(event.reason);
    return;
  }
  if (!this->IsStream()) {
    this->CountUsage(this->call->sent_at());
  }
  this->NoteBrokenContent();
  this->GoOn(core::AttemptInterrupted{}, event.reason);
}

void RequestRun::OnOverdue() {
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
  const bool could_go_on =
      this->progress.attempts < rules.max_attempts &&
      this->context.beliefs.placer.HasAlternative(query, now) &&
      HasRetry(this->context, this->service);
  if (could_go_on) {
    this->GoOn(core::AttemptInterrupted{},
               "no answer within the expected time");
    return;
  }
  // A retry may become possible while this attempt is still silent.
  const auto self = this->shared_from_this();
  this->overdue_timer.Start(BackendCall::NextPatience(),
                            [self] { self->OnOverdue(); });
}

void RequestRun::GiveUp() {
  this->ReleasePrompt();
  std::visit([&](const auto& kind) { this->Do(kind); },
             core::DecideFinalStep(this->progress));
}

void RequestRun::GoOn(const core::AttemptEnd& end, const std::string& reason) {
  this->overdue_timer.Cancel();
  this->ReleasePrompt();
  this->LogAttemptEnd(KindOf(end), reason);
  if (this->call != nullptr) {
    this->excluded.insert(this->call->plan().backend.id);
    this->call.reset();
  }
  this->cutter.TakeIncomplete();
  const base::Instant now = base::Now();
  core::RetryConditions means = {
      this->context.beliefs.placer.HasAlternative(this->Query(), now), true,
      this->TimeLeft(now) > kLeastTime};
  core::NextStep step =
      core::DecideNextStep(this->Rules(), this->progress, end, means);
  if (std::holds_alternative<core::TryAgain>(step) &&
      this->progress.attempts > 0) {
    means.budget_left =
        ChargeRetry(this->context, this->service, this->caller.id);
    step = core::DecideNextStep(this->Rules(), this->progress, end, means);
  }
  std::visit([&](const auto& kind) { this->Do(kind); }, step);
}

}  // namespace carawayvalve::gateway
