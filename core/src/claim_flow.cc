#include "carawayvalve/core/claim_flow.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

using Actions = std::vector<ClaimAction>;

constexpr base::Milliseconds kLeastPause{50};
constexpr base::Milliseconds kMostPause{5000};
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
  return this->Write(this->claim, 0, Call::kWriteClaimed);
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
  const Call answered = this->call;
  if (answered != Call::kWriteClaimed && answered != Call::kWriteGoal) {
    return {};
  }
  this->call = Call::kNone;
  if (!event.done) {
    // What stands in the way may be an earlier write of this call.
    this->conflict_seen = this->conflict_seen || !this->write_unsettled;
    return this->Read();
  }
  if (answered == Call::kWriteGoal) {
    return this->Finish();
  }
  this->write_unsettled = false;
  if (this->phase == Phase::kClaiming) {
    return this->Run(event.version);
  }
  return this->Write(this->goal, event.version, Call::kWriteGoal);
}

Actions ClaimFlow::On(const ClaimWriteLost&, base::Instant now) {
  const Call answered = this->call;
  if (answered != Call::kWriteClaimed && answered != Call::kWriteGoal) {
    return {};
  }
  this->call = Call::kNone;
  const bool first_loss = !this->write_unsettled;
  if (answered == Call::kWriteClaimed) {
    this->write_unsettled = true;
  }
  if (this->phase == Phase::kClaiming && first_loss) {
    return this->Read();
  }
  return this->ReadLater(now);
}

Actions ClaimFlow::On(const ClaimWriteNotSent&, base::Instant now) {
  const Call answered = this->call;
  if (answered != Call::kWriteClaimed && answered != Call::kWriteGoal) {
    return {};
  }
  this->call = Call::kNone;
  if (answered == Call::kWriteGoal || this->write_unsettled) {
    return this->ReadLater(now);
  }
  if (this->phase == Phase::kClaiming) {
    return this->GiveUp(true, now);
  }
  return this->Finish();
}

Actions ClaimFlow::On(const ClaimRead& event, base::Instant) {
  if (this->call != Call::kRead) {
    return {};
  }
  this->call = Call::kNone;
  if (this->phase == Phase::kClaiming) {
    return this->ReadWhileClaiming(event);
  }
  return this->ReadWhileStoring(event);
}

Actions ClaimFlow::On(const ClaimReadFailed&, base::Instant now) {
  if (this->call != Call::kRead) {
    return {};
  }
  this->call = Call::kNone;
  return this->ReadLater(now);
}

Actions ClaimFlow::On(const ClaimedRequestNotRun&, base::Instant) {
  if (this->phase != Phase::kRunning) {
    return {};
  }
  ClaimObject object = this->claim;
  object.state = ClaimState::kNotRun;
  return this->Store(object);
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
  return this->Store(object);
}

Actions ClaimFlow::On(const ClaimCallerDisconnected&, base::Instant now) {
  if (this->phase != Phase::kClaiming) {
    return {};
  }
  return this->GiveUp(false, now);
}

Actions ClaimFlow::On(const ClaimTimePassed&, base::Instant now) {
  if (this->phase == Phase::kClaiming && now >= this->settle_until) {
    return this->GiveUp(true, now);
  }
  if (this->call == Call::kNone && this->read_at && now >= *this->read_at) {
    return this->Read();
  }
  return {};
}

Actions ClaimFlow::Write(const ClaimObject& object,
                         int64_t if_version,
                         Call kind) {
  this->call = kind;
  return {WriteClaim{object, if_version}};
}

Actions ClaimFlow::Read() {
  this->call = Call::kRead;
  this->read_at.reset();
  return {ReadClaim{}};
}

Actions ClaimFlow::ReadLater(base::Instant now) {
  this->pause =
      std::clamp<base::Duration>(this->pause * 2, kLeastPause, kMostPause);
  this->read_at = now + this->pause;
  return {};
}

Actions ClaimFlow::ReadWhileClaiming(const ClaimRead& event) {
  if (this->IsOwn(event)) {
    this->write_unsettled = false;
    return this->Run(event.version);
  }
  if (event.version != this->base_version) {
    // Versions only rise, so a write on top of the old one has failed.
    this->write_unsettled = false;
  }
  if (event.object && event.object->body_digest != this->claim.body_digest) {
    return this->Answer(Refuse(ClaimRefusal::kRequestMismatch,
                               "the key was used for another request"));
  }
  if (event.object && event.object->state != ClaimState::kNotRun) {
    return this->AnswerFrom(event);
  }
  this->base_version = event.version;
  return this->Write(this->claim, event.version, Call::kWriteClaimed);
}

Actions ClaimFlow::ReadWhileStoring(const ClaimRead& event) {
  if (this->IsOwn(event)) {
    if (event.object->state == this->goal.state) {
      return this->Finish();
    }
    return this->Write(this->goal, event.version, Call::kWriteGoal);
  }
  // Writing on top of what a lost write expects keeps that write from taking
  // effect later.
  const bool may_take_effect =
      this->write_unsettled && event.version == this->base_version;
  if (!event.object || may_take_effect) {
    return this->Write(this->goal, event.version, Call::kWriteGoal);
  }
  return this->Finish();
}

Actions ClaimFlow::AnswerFrom(const ClaimRead& event) {
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
  this->goal = this->claim;
  this->goal.state = ClaimState::kNotRun;
  const bool may_have_written =
      this->write_unsettled || this->call == Call::kWriteClaimed;
  this->phase = may_have_written ? Phase::kStoring : Phase::kDone;
  if (may_have_written && this->call == Call::kNone) {
    this->ReadLater(now);
  }
  return actions;
}

Actions ClaimFlow::Store(const ClaimObject& object) {
  this->phase = Phase::kStoring;
  this->goal = object;
  return this->Write(object, this->base_version, Call::kWriteGoal);
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
