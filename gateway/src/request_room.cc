#include <utility>

#include "request_handler.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kUnavailable = 503;

}  // namespace

bool RequestHandler::CompetesForRoom() const {
  return this->context.state.settings.features.contention &&
         this->caller.prompt.has_value() && this->progress.attempts == 0 &&
         !this->prefilled_once && this->failed_prefills == 0;
}

core::RoomRequest RequestHandler::ToRoomRequest() const {
  core::RoomRequest request;
  request.route = this->route->name;
  if (this->account != nullptr) {
    request.account = this->account->name;
  }
  request.priority = this->Priority();
  request.arrived = this->arrived;
  request.objective = this->route->objective;
  request.deadline = this->deadline;
  return request;
}

core::RoomOffer RequestHandler::ToRoomOffer(const core::Placement& placement,
                                            base::Instant now) const {
  return {this->Corrected(placement.expected, now),
          this->Corrected(placement.work_ahead, now)};
}

void RequestHandler::CompeteForRoom(const core::Placement& placement,
                                    base::Instant now) {
  const core::RoomDecision decision = this->context.room.admission().Decide(
      this->ToRoomRequest(), this->ToRoomOffer(placement, now), now);
  std::visit([&](const auto& kind) { this->Perform(kind, placement); },
             decision);
}

bool RequestHandler::TryRoom() {
  if (this->ended) {
    return true;
  }
  const base::Instant now = base::Now();
  const core::PlacementResult result =
      this->context.state.placer.Choose(this->Query(), now);
  const auto* placement = std::get_if<core::Placement>(&result);
  if (placement == nullptr) {
    this->context.room.Remove(*this->room_ticket);
    this->room_ticket.reset();
    this->Attempt();
    return true;
  }
  const core::RoomDecision decision = this->context.room.admission().Reconsider(
      *this->room_ticket, this->ToRoomOffer(*placement, now), now);
  if (std::holds_alternative<core::WaitForRoom>(decision)) {
    return false;
  }
  this->room_ticket.reset();
  if (this->AdmitContent()) {
    std::visit([&](const auto& kind) { this->Perform(kind, *placement); },
               decision);
  }
  return true;
}

void RequestHandler::Perform(const core::SendToEngine& /*decision*/,
                             const core::Placement& placement) {
  this->context.metrics.CountRoom(this->route->name.value, "sent");
  this->Send(placement);
}

void RequestHandler::Perform(const core::WaitForRoom& decision,
                             const core::Placement& placement) {
  this->LogRoom("request_waits", "waits", decision.reason, placement);
  const auto self = this->shared_from_this();
  this->room_ticket = this->context.room.Add(
      this->ToRoomRequest(), this->ToRoomOffer(placement, base::Now()),
      [self] { return self->TryRoom(); });
}

void RequestHandler::Perform(const core::RefuseForRoom& decision,
                             const core::Placement& placement) {
  this->LogRoom("request_refused", "refused", "no room before the deadline",
                placement);
  this->RefuseUntil(kUnavailable, "no backend server can answer in time",
                    decision.retry_after);
}

void RequestHandler::LogRoom(const char* event,
                             const char* outcome,
                             const std::string& reason,
                             const core::Placement& placement) {
  const std::string account =
      this->account == nullptr ? "" : this->account->name.value;
  this->context.metrics.CountRoom(this->route->name.value, outcome);
  this->context.metrics.CountRoomOfAccount(account, outcome);
  const base::Instant now = base::Now();
  const core::RoomOffer offer = this->ToRoomOffer(placement, now);
  this->context.journal.Write(
      base::LogLevel::kInfo, event,
      {{"request", this->caller.id.value},
       {"route", this->route->name.value},
       {"account", account},
       {"reason", reason},
       {"backend", placement.target.id.value},
       {"expected_ms", base::ToMilliseconds(offer.expected)},
       {"work_ahead_ms", base::ToMilliseconds(offer.work_ahead)},
       {"waiting", this->context.room.size()},
       {"age_ms", this->AgeMs(now)}});
}

}  // namespace carawayvalve::gateway
