#include "backend_call.h"

#include <utility>

namespace carawayvalve::gateway {

namespace {

// A backend server that can't be connected to within this is passed over; a
// connection takes a few milliseconds.
constexpr base::Milliseconds kConnectTimeout(400);
constexpr int kServerError = 500;
// A backend server that takes this many times as long as expected, and this
// much more, has fallen silent unless something else comes from it.
constexpr int64_t kPatienceHalves = 3;
constexpr base::Milliseconds kPatienceExtra(300);
// Engines make an event of several tokens in a tenth of a second, also with
// many streams; callers find pauses of 400 ms late.
constexpr base::Milliseconds kEventPatience(400);

}  // namespace

BackendCall::BackendCall(Context& context,
                         const net::Request& request,
                         const core::CallerRequest& caller,
                         const BackendCallPlan& plan,
                         Handler handler)
    : context(context),
      call_plan(plan),
      handler(std::move(handler)),
      sent(base::Now()) {
  this->ticket = context.state.load.NoteSent(
      plan.backend.id, {1, plan.reading_work, plan.kv_tokens});
  this->silence_ticket = context.state.silence.NoteSent(
      plan.backend.id, FirstPatience(plan.expected), this->sent);
  this->context.on_load_changed();
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
  if (!this->settled && state.silence.IsSilent(id, now)) {
    // It was given up without a word from there.
    state.health.NoteUnreachable(id, now);
  }
  this->Settle();
}

base::Duration BackendCall::FirstPatience(base::Duration expected) {
  return expected * kPatienceHalves / 2 + kPatienceExtra;
}

base::Duration BackendCall::NextPatience() {
  return kEventPatience;
}

void BackendCall::Settle() {
  if (!this->settled) {
    this->settled = true;
    this->context.state.load.NoteEnded(this->ticket);
    this->context.on_load_changed();
    this->context.state.silence.NoteEnded(this->call_plan.backend.id,
                                          this->silence_ticket);
  }
}

void BackendCall::Tell(const BackendEvent& event) {
  // A copy: the handler may destroy this call.
  const Handler tell = this->handler;
  tell(event);
}

void BackendCall::On(const net::CallSent& event) {
  this->sent = base::Now();
  this->Tell(BackendGotRequest{event.kept_connection});
}

void BackendCall::On(const net::CallHead& event) {
  this->context.state.silence.NoteReceived(this->call_plan.backend.id,
                                           base::Now());
  this->head = platform::DecodeBackendHead(event.head);
  this->status = event.head.status;
  // The body of a refusal is of no use to anyone.
  if (this->head.declined || !this->head.genuine) {
    return;
  }
  this->Tell(BackendAnswerBegun{event.head});
}

void BackendCall::On(const net::CallBody& event) {
  if (this->head.declined) {
    return;
  }
  this->context.state.silence.NoteReceived(this->call_plan.backend.id,
                                           base::Now());
  if (!this->got_data) {
    this->NoteFirstData();
  }
  // Answers that only we get, such as that to PrefillOnly, bear no signature.
  this->Tell(BackendAnswerData{event.data});
}

void BackendCall::NoteFirstData() {
  this->got_data = true;
  GatewayState& state = this->context.state;
  state.load.NotePrefilled(this->ticket);
  this->context.on_load_changed();
  state.silence.SetTimeout(this->call_plan.backend.id, this->silence_ticket,
                           NextPatience());
  if (this->status < kServerError) {
    const base::Instant now = base::Now();
    state.health.NoteAnswer(this->call_plan.backend.id, now - this->sent,
                            this->call_plan.at_full_speed, now);
  }
}

void BackendCall::On(const net::CallDone& /*event*/) {
  this->Settle();
  const base::Instant now = base::Now();
  core::BackendHealth& health = this->context.state.health;
  const base::BackendServerId& id = this->call_plan.backend.id;
  if (this->head.declined) {
    // Another backend server at the address says nothing about this one.
    if (!this->head.other_backend) {
      health.NoteFailure(id, now);
    }
    this->Tell(BackendDeclined{this->status});
    return;
  }
  if (this->status >= kServerError) {
    health.NoteFailure(id, now);
  }
  this->Tell(BackendAnswerDone{});
}

void BackendCall::On(const net::CallFailed& event) {
  this->Settle();
  const base::Instant now = base::Now();
  core::BackendHealth& health = this->context.state.health;
  const base::BackendServerId& id = this->call_plan.backend.id;
  if (event.not_sent) {
    health.NoteUnreachable(id, now);
    this->context.state.NoteBackendCrash(id, now);
  } else {
    health.NoteFailure(id, now);
  }
  // What was answered before still says that it hasn't run.
  if (this->head.declined) {
    this->Tell(BackendDeclined{this->status});
    return;
  }
  this->Tell(BackendBroken{event.not_sent, event.reason});
}

}  // namespace carawayvalve::gateway
