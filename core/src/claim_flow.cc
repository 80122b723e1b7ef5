#include "carawayvalve/core/claim_flow.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

using Actions = std::vector<ClaimAction>;

constexpr base::Milliseconds kMinReadDelay{50};
constexpr base::Milliseconds kMaxReadDelay{5000};
constexpr base::Milliseconds kRetryAfter{1000};

RefuseRequest Refuse(ClaimRefusal refusal, const std::string& reason) {
  return {refusal, reason, kRetryAfter};
}

}  // namespace

ClaimFlow::ClaimFlow(const ClaimOptions& options) : options(options) {
  this->claim.writer = options.writer;
  this->claim.nonce = options.nonce;
  this->claim.body_digest = options.body_digest;
}

Actions ClaimFlow::Begin(base::Instant now) {
  this->settle_until =
      std::min(this->options.deadline, now + this->options.settle_time);
  return this->Write(this->claim, 0, StoreCall::kWriteClaimed);
}

Actions ClaimFlow::Step(const ClaimEvent& event, base::Instant now) {
  if (this->done()) {
    return {};
  }
  return std::visit([&](const auto& kind) { return this->On(kind, now); },
                    event);
}

std::optional<base::Instant> ClaimFlow::wake_at() const {
  if (this->phase != Phase::kClaiming) {
    return this->read_at;
  }
  return std::min(this->settle_until,
                  this->read_at.value_or(this->settle_until));
}

Actions ClaimFlow::On(const ClaimWritten& event, base::Instant) {
  const StoreCall answered = this->pending_call;
  if (answered != StoreCall::kWriteClaimed &&
      answered != StoreCall::kWriteFinal) {
    return {};
  }
  this->pending_call = StoreCall::kNone;
  if (!event.done) {
    // If a lost write is unsettled, the conflicting object may be this call's
    // own.
    this->conflict_seen = this->conflict_seen || !this->write_unsettled;
    return this->Read();
  }
  if (answered == StoreCall::kWriteFinal) {
    return this->Finish();
  }
  this->write_unsettled = false;
  if (this->phase == Phase::kClaiming) {
    return this->Run(event.version);
  }
  return this->Write(this->final_claim, event.version, StoreCall::kWriteFinal);
}

Actions ClaimFlow::On(const ClaimWriteUncertain&, base::Instant now) {
  const StoreCall answered = this->pending_call;
  if (answered != StoreCall::kWriteClaimed &&
      answered != StoreCall::kWriteFinal) {
    return {};
  }
  this->pending_call = StoreCall::kNone;
  const bool first_loss = !this->write_unsettled;
  if (answered == StoreCall::kWriteClaimed) {
    this->write_unsettled = true;
  }
  if (this->phase == Phase::kClaiming && first_loss) {
    return this->Read();
  }
  return this->ReadLater(now);
}

Actions ClaimFlow::On(const ClaimWriteNotSent&, base::Instant now) {
  const StoreCall answered = this->pending_call;
  if (answered != StoreCall::kWriteClaimed &&
      answered != StoreCall::kWriteFinal) {
    return {};
  }
  this->pending_call = StoreCall::kNone;
  if (answered == StoreCall::kWriteFinal || this->write_unsettled) {
    return this->ReadLater(now);
  }
  if (this->phase == Phase::kClaiming) {
    return this->GiveUp(true, now);
  }
  return this->Finish();
}

Actions ClaimFlow::On(const ClaimRead& event, base::Instant) {
  if (this->pending_call != StoreCall::kRead) {
    return {};
  }
  this->pending_call = StoreCall::kNone;
  if (this->phase == Phase::kClaiming) {
    return this->ReadWhileClaiming(event);
  }
  return this->ReadWhileStoring(event);
}

Actions ClaimFlow::On(const ClaimReadFailed&, base::Instant now) {
  if (this->pending_call != StoreCall::kRead) {
    return {};
  }
  this->pending_call = StoreCall::kNone;
  return this->ReadLater(now);
}

Actions ClaimFlow::On(const ClaimedRequestNotRun&, base::Instant) {
  if (this->phase != Phase::kRunning) {
    return {};
  }
  ClaimObject object = this->claim;
  object.state = ClaimState::kNotRun;
  return this->WriteFinal(object);
}

Actions ClaimFlow::On(const ClaimedRequestFinished& event, base::Instant) {
  if (this->phase != Phase::kRunning) {
    return {};
  }
  ClaimObject object = this->claim;
  object.state = ClaimState::kFinished;
  object.whole = event.answer.has_value();
  object.answer = event.answer;
  object.reason = event.reason;
  if (EncodeClaim(object).size() > this->options.max_stored_bytes) {
    object.answer.reset();
  }
  return this->WriteFinal(object);
}

Actions ClaimFlow::On(const ClaimCallerDisconnected&, base::Instant now) {
  if (this->phase != Phase::kClaiming) {
    return {};
  }
  return this->GiveUp(false, now);
}

Actions ClaimFlow::On(const ClaimTick&, base::Instant now) {
  if (this->phase == Phase::kClaiming && now >= this->settle_until) {
    return this->GiveUp(true, now);
  }
  if (this->pending_call == StoreCall::kNone && this->read_at &&
      now >= *this->read_at) {
    return this->Read();
  }
  return {};
}

Actions ClaimFlow::Write(const ClaimObject& object,
                         int64_t if_version,
                         StoreCall kind) {
  this->pending_call = kind;
  return {WriteClaim{object, if_version}};
}

Actions ClaimFlow::Read() {
  this->pending_call = StoreCall::kRead;
  this->read_at.reset();
  return {ReadClaim{}};
}

Actions ClaimFlow::ReadLater(base::Instant now) {
  this->read_delay = std::clamp<base::Duration>(this->read_delay * 2,
                                                kMinReadDelay, kMaxReadDelay);
  this->read_at = now + this->read_delay;
  return {};
}

Actions ClaimFlow::ReadWhileClaiming(const ClaimRead& event) {
  if (this->IsOwn(event)) {
    this->write_unsettled = false;
    return this->Run(event.version);
  }
  if (event.version != this->base_version) {
    // Versions only increase, so a write that expects the old one has failed.
    this->write_unsettled = false;
  }
  if (event.object && event.object->body_digest != this->claim.body_digest) {
    return this->Answer(Refuse(ClaimRefusal::kRequestMismatch,
                               "the key was used for another request"));
  }
  if (event.object && event.object->state != ClaimState::kNotRun) {
    return this->AnswerFromEarlierCall(event);
  }
  this->base_version = event.version;
  return this->Write(this->claim, event.version, StoreCall::kWriteClaimed);
}

Actions ClaimFlow::ReadWhileStoring(const ClaimRead& event) {
  if (this->IsOwn(event)) {
    if (event.object->state == this->final_claim.state) {
      return this->Finish();
    }
    return this->Write(this->final_claim, event.version,
                       StoreCall::kWriteFinal);
  }
  // Overwriting the version that a lost write expects prevents that write from
  // taking effect later.
  const bool may_take_effect =
      this->write_unsettled && event.version == this->base_version;
  if (!event.object || may_take_effect) {
    return this->Write(this->final_claim, event.version,
                       StoreCall::kWriteFinal);
  }
  return this->Finish();
}

Actions ClaimFlow::AnswerFromEarlierCall(const ClaimRead& event) {
  const ClaimObject& earlier = *event.object;
  if (earlier.state == ClaimState::kClaimed) {
    return this->Answer(
        event.writer_terminated
            ? Refuse(ClaimRefusal::kUnknownOutcome,
                     "the process that had the request is gone")
            : Refuse(ClaimRefusal::kInProgress,
                     "an earlier call with this key is in progress"));
  }
  if (earlier.answer) {
    return this->Answer(ReplayAnswer{*earlier.answer});
  }
  return this->Answer(
      earlier.whole ? Refuse(ClaimRefusal::kAnswerNotKept,
                             "the request has run; its answer wasn't kept")
                    : Refuse(ClaimRefusal::kUnknownOutcome, earlier.reason));
}

Actions ClaimFlow::Run(int64_t version) {
  this->phase = Phase::kRunning;
  this->base_version = version;
  return {RunRequest{}};
}

Actions ClaimFlow::Answer(const ClaimAction& answer) {
  this->phase = Phase::kDone;
  return {answer};
}

Actions ClaimFlow::GiveUp(bool caller_waits, base::Instant now) {
  Actions actions;
  if (caller_waits) {
    actions.push_back(
        this->conflict_seen
            ? Refuse(ClaimRefusal::kInProgress,
                     "the key was used before; what became of it can't be read")
            : Refuse(ClaimRefusal::kNotRun,
                     "the key can't be claimed: the store doesn't answer"));
  }
  this->final_claim = this->claim;
  this->final_claim.state = ClaimState::kNotRun;
  const bool may_have_written =
      this->write_unsettled || this->pending_call == StoreCall::kWriteClaimed;
  this->phase = may_have_written ? Phase::kStoring : Phase::kDone;
  if (may_have_written && this->pending_call == StoreCall::kNone) {
    this->ReadLater(now);
  }
  return actions;
}

Actions ClaimFlow::WriteFinal(const ClaimObject& object) {
  this->phase = Phase::kStoring;
  this->final_claim = object;
  return this->Write(object, this->base_version, StoreCall::kWriteFinal);
}

Actions ClaimFlow::Finish() {
  this->phase = Phase::kDone;
  return {};
}

bool ClaimFlow::IsOwn(const ClaimRead& event) const {
  return event.object && event.object->writer == this->claim.writer &&
         event.object->nonce == this->claim.nonce;
}

}  // namespace carawayvalve::core
