#include "carawayvalve/core/account_credit_request.h"

#include <algorithm>
#include <utility>

namespace carawayvalve::core {

namespace {

// Credit that was granted may have expired or gone to another request.
constexpr int64_t kMaxQuestions = 3;
// A step takes at most this part of the objective, within these bounds.
constexpr int64_t kWaitDivisor = 5;
constexpr base::Milliseconds kMinWait(30);
constexpr base::Milliseconds kMaxWait(150);
// Amounts are rounded on the way.
constexpr double kRounding = 1;

}  // namespace

base::Duration AccountCreditRequest::MaxWait() const {
  return std::clamp<base::Duration>(this->objective / kWaitDivisor, kMinWait,
                                    kMaxWait);
}

base::Duration AccountCreditRequest::Timeout() const {
  return this->stage == Stage::kPause ? this->pause : this->MaxWait();
}

CreditStep AccountCreditRequest::Start(base::Instant now) {
  return this->AskCollector(now);
}

CreditStep AccountCreditRequest::AskCollector(base::Instant now) {
  AccountAdmission admission =
      this->shares.Admit(this->account, this->amount, now);
  if (auto* admitted = std::get_if<AccountAdmitted>(&admission)) {
    return std::move(*admitted);
  }
  const auto* missing = std::get_if<AccountShort>(&admission);
  if (missing == nullptr) {
    return AccountRequestTooLarge{};
  }
  ++this->questions;
  if (!missing->collector.has_value() || this->questions > kMaxQuestions) {
    return this->OnTooLittle(0, now);
  }
  this->stage = Stage::kCollector;
  AskPeers step{
      {*missing->collector},
      this->shares.Ask(this->account, missing->missing + kRounding, false)};
  this->question = step.question.id;
  return step;
}

CreditStep AccountCreditRequest::OnTooLittle(double peer_balance,
                                             base::Instant now) {
  this->pause =
      this->shares.TimeToEarn(this->account, this->amount, peer_balance, now);
  if (this->questions >= kMaxQuestions || this->pause > this->MaxWait()) {
    return this->shares.Refuse(this->account, this->amount, peer_balance, now);
  }
  this->stage = Stage::kPause;
  return AskPeers{};
}

CreditStep AccountCreditRequest::OnGrant(const CreditGrant& grant,
                                         base::Instant now) {
  if (grant.account != this->account) {
    return KeepWaiting{};
  }
  if (!this->shares.HasLimit(this->account)) {
    return AccountAdmitted{};
  }
  if (this->shares.CanAdmit(this->account, this->amount, now)) {
    return this->AskCollector(now);
  }
  if (grant.question != this->question || this->stage != Stage::kCollector) {
    return KeepWaiting{};
  }
  return grant.credit.empty() ? this->OnTooLittle(grant.balance, now)
                              : this->AskCollector(now);
}

CreditStep AccountCreditRequest::OnTimeout(base::Instant now) {
  if (!this->shares.HasLimit(this->account)) {
    return AccountAdmitted{};
  }
  if (this->stage == Stage::kPause ||
      this->shares.CanAdmit(this->account, this->amount, now)) {
    return this->AskCollector(now);
  }
  return this->Search(now);
}

CreditStep AccountCreditRequest::Search(base::Instant now) {
  AskPeers step;
  if (this->stage != Stage::kSearch) {
    step.peers = this->shares.PeersToSearch(this->account, now);
  }
  if (step.peers.empty()) {
    return this->shares.Refuse(this->account, this->amount, 0, now);
  }
  this->stage = Stage::kSearch;
  step.question = this->shares.Ask(this->account, this->amount, true);
  this->question = step.question.id;
  return step;
}

}  // namespace carawayvalve::core
