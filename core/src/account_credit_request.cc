#include "carawayvalve/core/account_credit_request.h"

#include <algorithm>
#include <utility>

namespace carawayvalve::core {

namespace {

// Credit that was granted may have expired or gone to another request.
constexpr int64_t kMaxQuestions = 3;
// A question takes at most this part of the objective, within these bounds.
constexpr int64_t kTimeoutDivisor = 5;
constexpr base::Milliseconds kMinTimeout(30);
constexpr base::Milliseconds kMaxTimeout(150);
// Amounts are rounded on the way.
constexpr double kRounding = 1;

}  // namespace

base::Duration AccountCreditRequest::Timeout() const {
  return std::clamp<base::Duration>(this->objective / kTimeoutDivisor,
                                    kMinTimeout, kMaxTimeout);
}

CreditStep AccountCreditRequest::Start(base::Instant now) {
  return this->AskCollector(now);
}

CreditStep AccountCreditRequest::AskCollector(base::Instant now) {
  AccountAdmission admission =
      this->shares.Admit(this->account, this->amount, now);
  if (auto* missing = std::get_if<AccountShort>(&admission)) {
    if (!missing->collector.has_value()) {
      return this->Search(false, 0, now);
    }
    if (++this->questions > kMaxQuestions) {
      return this->Refuse(0, now);
    }
    AskPeers step{
        {*missing->collector},
        this->shares.Ask(this->account, missing->missing + kRounding, false)};
    this->question = step.question.id;
    return step;
  }
  if (auto* admitted = std::get_if<AccountAdmitted>(&admission)) {
    return std::move(*admitted);
  }
  return AccountRequestTooLarge{};
}

CreditStep AccountCreditRequest::Refuse(double peer_balance,
                                        base::Instant now) {
  return this->shares.Refuse(this->account, this->amount, peer_balance, now);
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
  if (grant.question != this->question || this->stage == Stage::kSearch) {
    return KeepWaiting{};
  }
  return grant.credit.empty() ? this->Search(false, grant.balance, now)
                              : this->AskCollector(now);
}

CreditStep AccountCreditRequest::OnTimeout(base::Instant now) {
  if (!this->shares.HasLimit(this->account)) {
    return AccountAdmitted{};
  }
  if (this->shares.CanAdmit(this->account, this->amount, now)) {
    return this->AskCollector(now);
  }
  return this->Search(true, 0, now);
}

CreditStep AccountCreditRequest::Search(bool collector_is_silent,
                                        double peer_balance,
                                        base::Instant now) {
  if (this->stage == Stage::kSearch) {
    return this->Refuse(peer_balance, now);
  }
  this->stage = Stage::kSearch;
  AskPeers step{
      this->shares.PeersToSearch(this->account, collector_is_silent, now), {}};
  if (step.peers.empty()) {
    return this->Refuse(peer_balance, now);
  }
  step.question = this->shares.Ask(this->account, this->amount, true);
  this->question = step.question.id;
  return step;
}

}  // namespace carawayvalve::core
