#include <utility>

#include "request_run.h"
#include "retry_charge.h"
#include "timed_call.h"

namespace carawayvalve::gateway {

namespace {

// An engine frees what nobody takes by itself after some seconds.
constexpr std::chrono::seconds kFreeTimeout(1);
// Engines that are tried for the reading of a prompt.
constexpr int64_t kMostReadings = 3;

// The call keeps itself until it has ended; nobody waits for it.
void FreePrompt(Context& context, const platform::DecodeFromHandle& held) {
  const auto kept = std::make_shared<std::shared_ptr<TimedCall>>();
  *kept = TimedCall::Start(context.loop, context.backends, held.prefill_engine,
                           platform::EncodeRelease(held.handle), kFreeTimeout,
                           [kept](const TimedCall::Result&) { kept->reset(); });
}

}  // namespace

void RequestRun::ReadPrompt(const core::Placement& placement) {
  const auto self = this->shared_from_this();
  if (this->was_read) {
    if (!ChargeRetry(this->context, this->service, this->caller.id)) {
      this->GiveUp();
      return;
    }
  }
  this->reading.clear();
  this->NotePrefix(placement.target.id, false);
  this->context.journal.Write(
      base::LogLevel::kInfo, "prompt_sent",
      {{"request", this->caller.id.value},
       {"backend", placement.target.id.value},
       {"missing_tokens", placement.missing_tokens},
       {"copy_from",
        placement.copy_from.has_value() ? placement.copy_from->id.value : ""},
       {"expected_ms", base::ToMilliseconds(placement.expected)},
       {"age_ms", this->AgeMs(base::Now())}});
  this->call = std::make_unique<BackendCall>(
      this->context, this->exchange->request(), this->caller,
      this->PlanCall(placement, platform::PrefillOnly{}),
      [self, placement](const BackendEvent& event) {
        self->OnReader(placement, event);
      });
}

void RequestRun::OnReader(const core::Placement& placement,
                          const BackendEvent& event) {
  if (this->ended) {
    return;
  }
  if (const auto* data = std::get_if<BackendAnswerData>(&event)) {
    this->reading += data->data;
  } else if (std::holds_alternative<BackendAnswerDone>(event)) {
    this->OnPrefilled(placement);
  } else if (const auto* declined = std::get_if<BackendDeclined>(&event)) {
    this->ReadFailed(placement,
                     "declined with " + std::to_string(declined->status));
  } else if (const auto* broken = std::get_if<BackendBroken>(&event)) {
    this->ReadFailed(placement, broken->reason);
  }
}

void RequestRun::OnPrefilled(const core::Placement& placement) {
  const auto prefilled = platform::DecodePrefilled(this->reading);
  if (!prefilled.has_value()) {
    this->ReadFailed(placement, "the answer names no handle");
    return;
  }
  this->LogAttemptEnd("prompt_read", prefilled->handle);
  this->NotePrefix(placement.target.id, true);
  this->held_prompt =
      platform::DecodeFromHandle{placement.target.address, prefilled->handle};
  this->reader = placement.target;
  this->was_read = true;
  this->call.reset();
  this->RunHeldPrompt();
}

void RequestRun::RunHeldPrompt() {
  const core::PlacementResult result =
      this->context.state.placer.ChooseDecodeEngine(this->Query(), this->reader,
                                                    base::Now());
  if (const auto* none = std::get_if<core::NoBackend>(&result)) {
    this->GoOn(core::AttemptNotSent{}, none->reason);
    return;
  }
  // A copy: the prompt is let go when the answer begins.
  const platform::DecodeFromHandle held = *this->held_prompt;
  this->Run(std::get<core::Placement>(result), held);
}

void RequestRun::ReleasePrompt() {
  const auto held = std::exchange(this->held_prompt, std::nullopt);
  if (held.has_value()) {
    FreePrompt(this->context, *held);
  }
}

// The prompt wasn't read and nothing has run: another engine reads it. Where
// all fail, one that generates reads it too, though that delays its streams.
void RequestRun::ReadFailed(const core::Placement& placement,
                            const std::string& reason) {
  this->LogAttemptEnd("prompt_not_read", reason);
  this->call.reset();
  this->excluded.insert(placement.target.id);
  ++this->failed_readings;
  this->may_hand_over = this->failed_readings < kMostReadings;
  if (!ChargeRetry(this->context, this->service, this->caller.id)) {
    this->GiveUp();
    return;
  }
  this->Attempt();
}

// A prompt that no engine has taken goes to the next one; reading it again
// would take longer, and counts as a retry.
void RequestRun::OnNotSent(const std::string& reason) {
  const base::BackendServerId failed = this->call->plan().backend.id;
  this->excluded.insert(failed);
  const bool other =
      this->context.state.placer.HasAlternative(this->Query(), base::Now());
  if (!this->held_prompt.has_value() || !other) {
    this->GoOn(core::AttemptNotSent{}, reason);
    return;
  }
  this->overdue_timer.Cancel();
  this->LogAttemptEnd("not_sent", reason);
  this->call.reset();
  this->RunHeldPrompt();
}

}  // namespace carawayvalve::gateway
