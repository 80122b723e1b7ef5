#include <utility>

#include "request_handler.h"
#include "retry_charge.h"
#include "timed_call.h"

namespace carawayvalve::gateway {

namespace {

// A failed release needs no retry: an engine frees a prompt that isn't taken
// after some seconds.
constexpr std::chrono::seconds kReleaseTimeout(1);
// Number of prefill engines that are tried for a prompt.
constexpr int64_t kMaxPrefillAttempts = 3;

// Tells the prefill engine to free the prompt. The call owns itself until it
// has ended, as the caller of this function doesn't wait for it.
void SendRelease(Context& context,
                 const core::BackendEntry& engine,
                 const platform::DecodeFromHandle& prompt) {
  context.NoteBackendRequest(engine.id, "release");
  const auto call_holder = std::make_shared<std::shared_ptr<TimedCall>>();
  *call_holder = TimedCall::Start(
      context.loop, context.backends, prompt.prefill_engine,
      platform::EncodeRelease(prompt.handle), kReleaseTimeout,
      [&context, engine, call_holder,
       sent = base::Now()](const TimedCall::Result& result) {
        NoteSkippedAnswers(context, engine, "release", result);
        context.NoteBackendHead(engine, {result.status, result.fields}, sent);
        call_holder->reset();
      });
}

}  // namespace

void RequestHandler::PrefillPrompt(const core::Placement& placement) {
  const auto self = this->shared_from_this();
  if (this->prefilled_once) {
    if (!ChargeRetry(this->context, this->service, this->caller.id)) {
      this->GiveUp();
      return;
    }
  }
  this->prefill_answer.clear();
  this->NotePrefix(placement.target.id, false);
  this->context.metrics.CountPlacement(placement.passed_over_lowest);
  this->context.journal.Write(
      base::LogLevel::kInfo, "prompt_sent",
      {{"request", this->caller.id.value},
       {"backend", placement.target.id.value},
       {"address", base::PrintAddress(placement.target.address)},
       {"missing_tokens", placement.missing_tokens},
       {"copy_from",
        placement.copy_from.has_value() ? placement.copy_from->id.value : ""},
       {"expected_ms", base::ToMilliseconds(placement.expected)},
       {"lowest_cost", !placement.passed_over_lowest},
       {"age_ms", this->AgeMs(base::Now())}});
  this->call = std::make_unique<BackendCall>(
      this->context, this->exchange->request(), this->caller,
      this->PlanCall(placement, platform::PrefillOnly{}),
      [self, placement](const BackendEvent& event) {
        self->OnPrefillEvent(placement, event);
      });
}

void RequestHandler::OnPrefillEvent(const core::Placement& placement,
                                    const BackendEvent& event) {
  if (this->ended) {
    return;
  }
  if (std::holds_alternative<BackendRequestSent>(event)) {
    this->earlier_prompt_may_have_run =
        std::exchange(this->prompt_may_have_run, true);
  } else if (std::holds_alternative<BackendDeclined>(event)) {
    this->prompt_may_have_run = this->earlier_prompt_may_have_run;
  }
  if (const auto* data = std::get_if<BackendAnswerData>(&event)) {
    this->prefill_answer += data->data;
  } else if (std::holds_alternative<BackendAnswerDone>(event)) {
    this->OnPrefilled(placement);
  } else if (const auto* declined = std::get_if<BackendDeclined>(&event)) {
    this->OnPrefillFailed(placement,
                          "declined with " + std::to_string(declined->status));
  } else if (const auto* broken = std::get_if<BackendCallFailed>(&event)) {
    this->OnPrefillFailed(placement, broken->reason);
  }
}

void RequestHandler::OnPrefilled(const core::Placement& placement) {
  const auto prefilled = platform::DecodePrefilled(this->prefill_answer);
  if (!prefilled.has_value()) {
    this->context.state.health.NoteFailure(placement.target.id, base::Now());
    this->OnPrefillFailed(placement, "the answer names no handle");
    return;
  }
  this->call->NoteAnswer();
  this->LogAttemptEnd("prompt_read", prefilled->handle);
  this->NotePrefix(placement.target.id, true);
  this->prefilled_prompt =
      platform::DecodeFromHandle{placement.target.address, prefilled->handle};
  this->prefill_engine = placement.target;
  this->prefilled_once = true;
  this->call.reset();
  this->RunPrefilledPrompt();
}

void RequestHandler::RunPrefilledPrompt() {
  if (!this->AdmitContent()) {
    return;
  }
  const core::PlacementResult result =
      this->context.state.placer.ChooseDecodeEngine(
          this->Query(), this->prefill_engine, base::Now());
  if (const auto* none = std::get_if<core::NoBackend>(&result)) {
    this->EndAttempt(core::AttemptNotSent{}, none->reason);
    return;
  }
  // Copied because the member is reset when the answer begins.
  const platform::DecodeFromHandle prompt = *this->prefilled_prompt;
  this->Run(std::get<core::Placement>(result), prompt);
}

void RequestHandler::ReleasePrompt() {
  const auto prompt = std::exchange(this->prefilled_prompt, std::nullopt);
  const base::Instant now = base::Now();
  const core::BackendEntry& engine = this->prefill_engine;
  const GatewayState& state = this->context.state;
  const bool may_send =
      !state.health.AskedToWait(engine.id, now) &&
      state.rate_limits.MaySend(engine.id, engine.started_ms, now);
  if (prompt.has_value() && may_send) {
    SendRelease(this->context, this->prefill_engine, *prompt);
  }
}

// The prompt wasn't prefilled and nothing has run, so another prefill engine is
// tried. After kMaxPrefillAttempts failures, a decode engine prefills the
// prompt itself, though that delays its streams.
void RequestHandler::OnPrefillFailed(const core::Placement& placement,
                                     const std::string& reason) {
  this->LogAttemptEnd("prompt_not_read", reason);
  this->call.reset();
  this->excluded.insert(placement.target.id);
  ++this->failed_prefills;
  this->may_hand_over = this->failed_prefills < kMaxPrefillAttempts;
  if (!ChargeRetry(this->context, this->service, this->caller.id)) {
    this->GiveUp();
    return;
  }
  this->Attempt();
}

// A prefilled prompt that no decode engine has taken is sent to the next one:
// prefilling it again would take longer and count as a retry.
void RequestHandler::OnNotSent(const std::string& reason) {
  const base::BackendServerId failed = this->call->plan().backend.id;
  this->excluded.insert(failed);
  const bool has_alternative =
      this->context.state.placer.HasAlternative(this->Query(), base::Now());
  if (!this->prefilled_prompt.has_value() || !has_alternative) {
    this->EndAttempt(core::AttemptNotSent{}, reason);
    return;
  }
  this->overdue_timer.Cancel();
  this->LogAttemptEnd("not_sent", reason);
  this->call.reset();
  this->RunPrefilledPrompt();
}

}  // namespace carawayvalve::gateway
