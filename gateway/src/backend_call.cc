#include "backend_call.h"

#include <utility>

namespace carawayvalve::gateway {

namespace {

// A connection takes a few milliseconds; a backend server that takes longer
// than this to accept one counts as unreachable.
constexpr base::Milliseconds kConnectTimeout(400);
constexpr int kOk = 200;
constexpr int kServerError = 500;
// The timeout of the first data is this many halves of the expected time, plus
// a fixed margin. After the timeout, the backend server counts as silent,
// unless something was received from it on another request.
constexpr int64_t kFirstDataTimeoutHalves = 3;
constexpr base::Milliseconds kFirstDataTimeoutMargin(300);
// Engines produce an event of several tokens within 100 ms even with many
// streams, and callers count pauses of 400 ms as late.
constexpr base::Milliseconds kNextDataTimeout(400);
// What an answer that isn't passed on may send, and how long one that declines
// may take to end. Beyond it the connection isn't worth keeping.
constexpr size_t kMaxUnusableBytes = size_t{64} * 1024;
constexpr base::Milliseconds kDeclinedBodyTimeout(250);
// What one event that is passed on may have, and the body of a failure.
constexpr size_t kMaxEventBytes = size_t{1024} * 1024;
// A whole answer may have this part of the memory of the process.
constexpr size_t kAnswerDivisor = 16;

}  // namespace

BackendCall::BackendCall(Context& context,
                         const net::Request& request,
                         const core::CallerRequest& caller,
                         const BackendCallPlan& plan,
                         Handler handler)
    : context(context),
      call_plan(plan),
      request(caller.id),
      handler(std::move(handler)),
      sent(base::Now()),
      declined_timer(context.loop) {
  this->ticket = context.state.load.NoteSent(
      plan.backend.id, {1, plan.prefill_work, plan.kv_tokens});
  this->silence_ticket = context.state.silence.NoteSent(
      plan.backend.id, FirstDataTimeout(plan.expected), this->sent);
  this->context.on_load_changed();
  this->context.NoteBackendRequest(plan.backend.id,
                                   plan.IsPrefill() ? "prefill" : "attempt");
  net::CallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.echo = platform::RequestIdField(caller);
  this->call = context.backends.Start(
      plan.backend.address, platform::EncodeForBackend(request, plan.order),
      options, [this](const net::CallEvent& event) {
        std::visit([&](const auto& kind) { this->On(kind); }, event);
      });
}

BackendCall::~BackendCall() {
  GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  const base::BackendServerId& id = this->call_plan.backend.id;
  if (!this->end_recorded && state.silence.IsSilent(id, now)) {
    // The call is cancelled while the backend server is silent.
    state.health.NoteUnreachable(id, now);
  }
  this->RecordEnd();
}

base::Duration BackendCall::FirstDataTimeout(base::Duration expected) {
  return expected * kFirstDataTimeoutHalves / 2 + kFirstDataTimeoutMargin;
}

base::Duration BackendCall::NextDataTimeout() {
  return kNextDataTimeout;
}

void BackendCall::RecordEnd() {
  if (!this->end_recorded) {
    this->end_recorded = true;
    this->context.state.load.NoteEnded(this->ticket);
    this->context.on_load_changed();
    this->context.state.silence.NoteEnded(this->call_plan.backend.id,
                                          this->silence_ticket);
  }
}

void BackendCall::Notify(const BackendEvent& event) {
  // Copied because the handler may destroy this call.
  const Handler notify = this->handler;
  notify(event);
}

void BackendCall::On(const net::CallSent& event) {
  this->sent = base::Now();
  this->used_connection.number = event.connection;
  this->used_connection.kept = event.kept_connection;
  this->Notify(BackendRequestSent{event.kept_connection});
}

void BackendCall::On(const net::CallSkipped& event) {
  ++this->used_connection.skipped_answers;
  this->context.NoteSkippedAnswer(
      this->call_plan.backend,
      this->call_plan.IsPrefill() ? "prefill" : "attempt", this->request,
      this->used_connection.number, event);
}

void BackendCall::On(const net::CallHead& event) {
  this->head = this->context.NoteBackendHead(this->call_plan.backend,
                                             event.head, this->sent);
  this->status = event.head.status;
  this->framing = event.framing;
  const std::string* type = net::FindField(event.head.fields, "Content-Type");
  this->completeness = core::AnswerCompleteness(
      type == nullptr ? std::nullopt : std::optional(*type),
      this->call_plan.expects_events && this->status == kOk,
      event.framing == net::BodyFraming::kConnectionClose);
  this->LimitHeldBytes();
  if (this->head.declined) {
    this->NoteReceived();
    this->declined_timer.Start(kDeclinedBodyTimeout, [this] {
      this->GiveUp("a refusal doesn't end");
    });
  }
  // Only a genuine answer counts as begun. The body of a declined request isn't
  // used.
  if (this->head.declined || !this->head.genuine) {
    return;
  }
  this->Notify(BackendAnswerBegun{event.head, event.framing});
}

void BackendCall::LimitHeldBytes() {
  const bool for_stream = this->call_plan.expects_events && this->status == kOk;
  if (for_stream && !this->completeness.is_event_stream()) {
    // Passed on in parts, of which little is held.
    return;
  }
  const bool is_short = for_stream || this->status >= kServerError;
  this->completeness.SetMaxHeldBytes(
      is_short ? kMaxEventBytes
               : this->context.state.settings.memory_bytes / kAnswerDivisor,
      for_stream);
}

void BackendCall::GiveUp(const std::string& reason) {
  this->call->Cancel();
  this->On(net::CallFailed{false, false, false, reason});
}

bool BackendCall::IsUsable() const {
  return !this->head.declined &&
         (this->head.genuine || this->call_plan.IsPrefill());
}

void BackendCall::NoteReceived() {
  this->context.state.silence.NoteReceived(this->call_plan.backend.id,
                                           base::Now());
}

void BackendCall::On(const net::CallBody& event) {
  this->received_bytes += event.data.size();
  const bool for_caller = this->IsUsable() && !this->call_plan.IsPrefill();
  if (!for_caller && this->received_bytes > kMaxUnusableBytes) {
    this->GiveUp("an answer without use doesn't end");
    return;
  }
  if (!this->IsUsable()) {
    return;
  }
  if (this->completeness.Feed(event.data)) {
    this->NoteProgress();
  }
  if (const auto fault = this->completeness.FaultSoFar()) {
    this->GiveUp(*fault);
    return;
  }
  this->Notify(BackendAnswerData{event.data});
}

// A server that hangs, or that sends something beside its answers, may send
// heads and comments for ever: only what brings an answer on counts.
void BackendCall::NoteProgress() {
  this->NoteReceived();
  if (this->first_data_time.has_value()) {
    return;
  }
  this->first_data_time = base::Now() - this->sent;
  GatewayState& state = this->context.state;
  state.load.NotePrefilled(this->ticket);
  this->context.on_load_changed();
  state.silence.SetTimeout(this->call_plan.backend.id, this->silence_ticket,
                           NextDataTimeout());
  // Whether any other body is an answer shows only at its end.
  if (this->completeness.is_event_stream() && !this->call_plan.IsPrefill()) {
    this->NoteAnswer();
  }
}

void BackendCall::NoteAnswer() {
  if (!this->first_data_time.has_value() || this->status >= kServerError) {
    return;
  }
  GatewayState& state = this->context.state;
  const base::Instant now = base::Now();
  const base::Duration time = *this->first_data_time;
  state.health.NoteAnswer(this->call_plan.backend.id, time,
                          this->call_plan.at_full_speed, now);
  state.reported_load.NoteAnswer(this->call_plan.backend.id, time,
                                 this->call_plan.at_full_speed, now);
  if (const auto observed = this->ObserveFirstData(time)) {
    this->context.NoteSpeed(this->call_plan.backend, *observed);
  }
}

std::optional<core::SpeedObservation> BackendCall::ObserveFirstData(
    base::Duration time) const {
  const BackendCallPlan& plan = this->call_plan;
  const bool slot_free = plan.requests_ahead < plan.backend.slots;
  if (plan.kv_tokens == 0) {
    return core::PlainAnswerObserved{plan.requests_ahead, plan.backend.slots,
                                     time};
  }
  if (plan.IsPrefill()) {
    // With more ahead than its own work, the time tells mostly of others.
    if (plan.order.copy_from.has_value() ||
        plan.tokens_ahead > plan.prefill_work) {
      return std::nullopt;
    }
    return core::PrefillObserved{plan.tokens_ahead + plan.prefill_work, time};
  }
  if (plan.tokens_ahead == 0 && plan.prefill_work == 0 && slot_free) {
    return core::FirstEventObserved{plan.requests_ahead, time};
  }
  return std::nullopt;
}

void BackendCall::NoteSlotTime() {
  const bool held_slot = this->call_plan.kv_tokens > 0 &&
                         this->status < kServerError &&
                         !this->call_plan.IsPrefill();
  if (held_slot) {
    this->context.NoteSpeed(this->call_plan.backend,
                            core::SlotTimeObserved{base::Now() - this->sent});
  }
}

void BackendCall::NoteMisdirected() {
  const core::BackendEntry& asked = this->call_plan.backend;
  const core::BackendEntry* known =
      this->context.state.directory.Find(asked.id);
  // A changed entry may be that of the server that answers by now.
  if (known != nullptr && known->address == asked.address &&
      known->role == asked.role && known->started_ms == asked.started_ms) {
    this->context.state.health.NoteMisdirected(asked.id, base::Now());
  }
}

void BackendCall::CountAnswer(const char* end) {
  if (this->status != 0) {
    this->context.metrics.CountBackendAnswer(net::NameOf(this->framing), end);
  }
}

void BackendCall::On(const net::CallDone& /*event*/) {
  const auto fault = this->completeness.Fault();
  if (fault.has_value() && !this->head.declined) {
    this->On(net::CallFailed{false, false, false, *fault});
    return;
  }
  this->RecordEnd();
  this->CountAnswer("complete");
  const base::Instant now = base::Now();
  core::BackendHealth& health = this->context.state.health;
  const base::BackendServerId& id = this->call_plan.backend.id;
  if (this->head.declined) {
    if (this->head.other_backend) {
      this->NoteMisdirected();
    } else if (!this->head.wait.has_value()) {
      health.NoteFailure(id, now);
    }
    this->Notify(BackendDeclined{this->status});
    return;
  }
  const bool failed =
      this->status >= kServerError && !this->head.wait.has_value();
  if (failed || !this->IsUsable()) {
    health.NoteFailure(id, now);
  } else {
    this->NoteReceived();
    this->NoteSlotTime();
    if (!this->completeness.is_event_stream() && !this->call_plan.IsPrefill()) {
      this->NoteAnswer();
    }
  }
  this->Notify(BackendAnswerDone{});
}

void BackendCall::On(const net::CallFailed& event) {
  this->RecordEnd();
  this->CountAnswer("broken");
  const base::Instant now = base::Now();
  core::BackendHealth& health = this->context.state.health;
  const base::BackendServerId& id = this->call_plan.backend.id;
  if (event.not_sent) {
    health.NoteUnreachable(id, now);
    if (event.reset) {
      this->context.NoteBackendCrash(id, "refused");
    }
  } else {
    health.NoteFailure(id, now);
  }
  // The head has already said that the request hasn't run.
  if (this->head.declined) {
    this->Notify(BackendDeclined{this->status});
    return;
  }
  this->Notify(BackendCallFailed{event.not_sent, event.reason});
}

}  // namespace carawayvalve::gateway
