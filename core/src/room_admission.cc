#include "carawayvalve/core/room_admission.h"

#include <algorithm>
#include <cmath>

namespace carawayvalve::core {

namespace {

using Ms = std::chrono::duration<double, std::milli>;

// Work ahead at an engine that hardly delays the requests after it.
constexpr base::Milliseconds kNegligibleWork(100);
// Twice the time between two rounds in which waiting requests are reconsidered:
// with less work ahead an engine may run idle between them.
constexpr base::Milliseconds kMinWorkAhead(50);
// More work ahead serves nobody: while a request waits at the gateway, engines
// may turn slow, others may become free, and more urgent requests may come.
constexpr base::Milliseconds kMaxWorkAhead(150);
// Who yields leaves this part of the time that it could wait to the others.
constexpr int64_t kYieldDivisor = 4;
// A class is endangered when its requests are expected after this part of
// their objective.
constexpr double kEndangered = 0.6;
// A class takes more than its share from this multiple of it on.
constexpr double kClassTolerance = 1.5;
// An account takes more than its share from this multiple of it on, and with
// this many requests of its class at least.
constexpr double kShareTolerance = 2;
constexpr double kMinRequests = 3;
// Weight of the newest request in the means of a class.
constexpr double kNewestWeight = 0.2;
// Less recent work means that a class or an account is absent.
constexpr double kAbsentMs = 1;
// The estimate of a wait may be this many times too long.
constexpr int64_t kWaitErrorFactor = 2;
// Callers honour a Retry-After of up to a third of the time that they have.
constexpr int64_t kRetryAfterDivisor = 3;
constexpr base::Milliseconds kMinRetryAfter(50);
// Multiples of it are spread evenly, modulo one.
constexpr double kGoldenRatio = 0.618034;
// Time for which the rate at which a new queue moves isn't known.
constexpr base::Milliseconds kNewQueueTime(1000);
// Callers whose time differs by less have waited equally long.
constexpr base::Milliseconds kEqualTime(30);
// A request takes this part longer than expected, and a fixed time beside.
constexpr int64_t kMarginDivisor = 2;
constexpr base::Milliseconds kMinTimeLeft(20);

double ToMs(base::Duration time) {
  return Ms(time).count();
}

base::Duration FromMs(double ms) {
  return std::chrono::duration_cast<base::Duration>(Ms(ms));
}

bool MeetsDeadline(const RoomRequest& request,
                   base::Duration time,
                   base::Instant now) {
  return now + time + time / kMarginDivisor + kMinTimeLeft <= request.deadline;
}

}  // namespace

void RoomAdmission::NoteArrival(const RoomRequest& request,
                                const RoomOffer& offer,
                                base::Instant now) {
  Traffic& traffic = this->classes[request.route];
  const bool absent = traffic.work.At(now) < kAbsentMs;
  const double weight = absent ? 1 : kNewestWeight;
  const double strain =
      ToMs(offer.expected) / std::max(ToMs(request.objective), 1.0);
  traffic.priority = request.priority;
  traffic.objective = request.objective;
  traffic.longest_time =
      std::max(absent ? base::Duration(0) : traffic.longest_time,
               request.deadline - request.arrived);
  traffic.own_time += FromMs(weight * ToMs(offer.OwnTime() - traffic.own_time));
  traffic.strain += weight * (strain - traffic.strain);
  traffic.work.Add(ToMs(offer.OwnTime()), now);
}

void RoomAdmission::NoteSent(const RoomRequest& request,
                             base::Duration own_time,
                             base::Instant now) {
  this->sent.Add(ToMs(own_time), now);
  Usage& usage = this->accounts[request.account];
  usage.weight = std::max<int64_t>(request.weight, 1);
  usage.work.Add(ToMs(own_time), now);
}

base::Duration RoomAdmission::Slack(const RoomRequest& request,
                                    base::Duration own_time,
                                    base::Instant now) const {
  // The objective of a request that takes most of it by itself is stretched:
  // else long prompts would always come after all others.
  const base::Duration objective =
      std::max<base::Duration>(request.objective, 2 * own_time);
  return request.arrived + objective - now - own_time;
}

bool RoomAdmission::ClassInExcess(const base::RouteId& route,
                                  base::Instant now) const {
  const auto own = this->classes.find(route);
  if (own == this->classes.end()) {
    return false;
  }
  double total = 0;
  double present = 0;
  for (const auto& [other, traffic] : this->classes) {
    const double work = traffic.work.At(now);
    total += work;
    present += work >= kAbsentMs ? 1 : 0;
  }
  return present > 1 &&
         own->second.work.At(now) > kClassTolerance * total / present;
}

bool RoomAdmission::ClassYields(const RoomRequest& request,
                                base::Instant now) const {
  const bool in_excess = this->ClassInExcess(request.route, now);
  return std::any_of(
      this->classes.begin(), this->classes.end(), [&](const auto& other) {
        const Traffic& traffic = other.second;
        const bool endangered =
            traffic.work.At(now) >= kAbsentMs && traffic.strain > kEndangered;
        const bool goes_first =
            in_excess || (traffic.priority < request.priority &&
                          !this->ClassInExcess(other.first, now));
        return other.first != request.route && endangered && goes_first;
      });
}

bool RoomAdmission::AccountYields(const RoomRequest& request,
                                  base::Instant now) const {
  const auto traffic = this->classes.find(request.route);
  const auto own = this->accounts.find(request.account);
  const bool short_of_room =
      !this->waiting.empty() ||
      (traffic != this->classes.end() && traffic->second.strain > kEndangered);
  if (!short_of_room || own == this->accounts.end()) {
    return false;
  }
  double total = 0;
  int64_t weights = 0;
  for (const auto& [account, usage] : this->accounts) {
    const double work = usage.work.At(now);
    total += work;
    weights += work >= kAbsentMs ? usage.weight : 0;
  }
  const double share = total * static_cast<double>(own->second.weight) /
                       static_cast<double>(std::max<int64_t>(weights, 1));
  const double work = own->second.work.At(now);
  const double few = traffic == this->classes.end()
                         ? 0
                         : kMinRequests * ToMs(traffic->second.own_time);
  return work > kShareTolerance * share && work > few;
}

bool RoomAdmission::HasReturned(const RoomRequest& request) const {
  const auto traffic = this->classes.find(request.route);
  return traffic != this->classes.end() &&
         request.deadline - request.arrived + kEqualTime <
             traffic->second.longest_time;
}

bool RoomAdmission::IsOvertaken(const OrderKey& key, base::Instant now) const {
  return std::any_of(
      this->waiting.begin(), this->waiting.end(), [&](const auto& other) {
        const Waiting& one = other.second;
        return other.first != key.ticket &&
               this->KeyOf(other.first, one.request, one.own_time, now) < key;
      });
}

const char* RoomAdmission::WhyYields(const RoomRequest& request,
                                     const OrderKey& key,
                                     base::Instant now) const {
  if (this->IsOvertaken(key, now)) {
    return "others go first";
  }
  if (this->ClassYields(request, now)) {
    return "other classes need room";
  }
  return this->AccountYields(request, now) ? "other accounts need room"
                                           : nullptr;
}

RoomDecision RoomAdmission::SendOrWait(Ticket ticket,
                                       const RoomRequest& request,
                                       const RoomOffer& offer,
                                       base::Instant now) const {
  const OrderKey key = this->KeyOf(ticket, request, offer.OwnTime(), now);
  const base::Duration slack = this->Slack(request, offer.OwnTime(), now);
  if (slack < base::Duration(0)) {
    return offer.work_ahead <= kNegligibleWork ? RoomDecision(SendToEngine{})
                                               : WaitForRoom{"late"};
  }
  const char* reason = this->WhyYields(request, key, now);
  const base::Duration limit =
      reason == nullptr
          ? std::clamp<base::Duration>(slack, kMinWorkAhead, kMaxWorkAhead)
          : std::min<base::Duration>(slack / kYieldDivisor, kMinWorkAhead);
  if (offer.work_ahead <= limit) {
    return SendToEngine{};
  }
  return WaitForRoom{reason == nullptr ? "no engine has room" : reason};
}

RoomAdmission::OrderKey RoomAdmission::KeyOf(Ticket ticket,
                                             const RoomRequest& request,
                                             base::Duration own_time,
                                             base::Instant now) const {
  const auto usage = this->accounts.find(request.account);
  const double used = usage == this->accounts.end()
                          ? 0
                          : usage->second.work.At(now) /
                                static_cast<double>(usage->second.weight);
  return {this->Slack(request, own_time, now) < base::Duration(0),
          this->ClassInExcess(request.route, now),
          request.priority,
          !this->HasReturned(request),
          used,
          request.deadline,
          ticket};
}

std::vector<RoomAdmission::Ticket> RoomAdmission::InOrder(
    base::Instant now) const {
  std::vector<OrderKey> keys;
  keys.reserve(this->waiting.size());
  for (const auto& [ticket, one] : this->waiting) {
    keys.push_back(this->KeyOf(ticket, one.request, one.own_time, now));
  }
  std::sort(keys.begin(), keys.end());
  std::vector<Ticket> tickets;
  tickets.reserve(keys.size());
  for (const OrderKey& key : keys) {
    tickets.push_back(key.ticket);
  }
  return tickets;
}

base::Duration RoomAdmission::ExpectedWait(const RoomRequest& request,
                                           base::Duration own_time,
                                           base::Instant now) const {
  const OrderKey key =
      this->KeyOf(this->last_ticket + 1, request, own_time, now);
  double ahead = ToMs(own_time);
  for (const auto& [ticket, one] : this->waiting) {
    if (this->KeyOf(ticket, one.request, one.own_time, now) < key) {
      ahead += ToMs(one.own_time);
    }
  }
  // What was sent within the time constant, one request at least.
  const double sent_work = std::max(this->sent.At(now), ToMs(own_time));
  return FromMs(ahead / std::max(sent_work, 1.0) *
                ToMs(DecayingSum::kTimeConstant));
}

RefuseForRoom RoomAdmission::Refuse(const RoomRequest& request,
                                    base::Duration wait,
                                    base::Instant now) {
  const double own = ToMs(this->classes[request.route].own_time);
  const double rate =
      std::max(this->sent.At(now), own) / ToMs(DecayingSum::kTimeConstant);
  // Those that were refused before come back first.
  const base::Duration spread =
      FromMs(this->refused.At(now) / std::max(rate, 0.01));
  this->refused.Add(own, now);
  const base::Duration longest =
      std::max<base::Duration>(request.deadline - now, kMinRetryAfter) /
      kRetryAfterDivisor;
  const base::Duration room = wait + spread;
  if (room < longest) {
    return {std::max<base::Duration>(room, kMinRetryAfter)};
  }
  // They have to come before room is expected, but not together.
  this->refused_count += 1;
  const double part =
      std::fmod(static_cast<double>(this->refused_count) * kGoldenRatio, 1.0);
  return {longest - FromMs(ToMs(longest) / 2 * part)};
}

RoomDecision RoomAdmission::Decide(const RoomRequest& request,
                                   const RoomOffer& offer,
                                   base::Instant now) {
  this->NoteArrival(request, offer, now);
  const base::Duration own_time = offer.OwnTime();
  const RoomDecision decision =
      this->SendOrWait(this->last_ticket + 1, request, offer, now);
  if (std::holds_alternative<SendToEngine>(decision) &&
      MeetsDeadline(request, offer.expected, now)) {
    this->NoteSent(request, own_time, now);
    return decision;
  }
  const base::Duration wait = this->ExpectedWait(request, own_time, now);
  const bool rate_is_known =
      !this->waiting.empty() && now - this->waiting_since > kNewQueueTime;
  const bool may_refuse =
      rate_is_known || !MeetsDeadline(request, offer.expected, now);
  if (may_refuse &&
      !MeetsDeadline(request, own_time + wait / kWaitErrorFactor, now)) {
    return this->Refuse(request, wait, now);
  }
  return std::holds_alternative<WaitForRoom>(decision)
             ? decision
             : WaitForRoom{"no engine has room"};
}

RoomAdmission::Ticket RoomAdmission::Add(const RoomRequest& request,
                                         const RoomOffer& offer,
                                         base::Instant now) {
  if (this->waiting.empty()) {
    this->waiting_since = now;
  }
  const Ticket ticket = ++this->last_ticket;
  this->waiting[ticket] = {request, offer.OwnTime(), now};
  return ticket;
}

RoomDecision RoomAdmission::Reconsider(Ticket ticket,
                                       const RoomOffer& offer,
                                       base::Instant now) {
  const auto found = this->waiting.find(ticket);
  if (found == this->waiting.end()) {
    return WaitForRoom{"unknown"};
  }
  Waiting& one = found->second;
  one.own_time = offer.OwnTime();
  if (!MeetsDeadline(one.request, one.own_time, now)) {
    const RoomRequest request = one.request;
    this->waiting.erase(found);
    return this->Refuse(request, offer.work_ahead, now);
  }
  const RoomDecision decision =
      this->SendOrWait(ticket, one.request, offer, now);
  if (std::holds_alternative<WaitForRoom>(decision) ||
      !MeetsDeadline(one.request, offer.expected, now)) {
    return WaitForRoom{"no engine has room"};
  }
  this->NoteSent(one.request, one.own_time, now);
  this->waiting.erase(found);
  return decision;
}

void RoomAdmission::Remove(Ticket ticket) {
  this->waiting.erase(ticket);
}

}  // namespace carawayvalve::core
