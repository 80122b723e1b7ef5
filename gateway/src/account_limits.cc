#include "account_limits.h"

#include <utility>

namespace carawayvalve::gateway {

double RateAmountOf(const core::CallerRequest& request,
                    const config::AccountRateLimit& limit) {
  if (limit.unit == config::RateUnit::kRequests) {
    return 1;
  }
  return static_cast<double>(request.prompt.has_value()
                                 ? request.prompt->prompt_tokens +
                                       request.prompt->max_output_tokens
                                 : limit.default_tokens);
}

void AccountLimits::Admit(const base::ClientAccountId& account,
                          double amount,
                          base::Duration objective,
                          const OnDecided& on_decided) {
  const auto place = this->waiting.emplace(
      this->waiting.end(), this->loop,
      core::AccountCreditRequest(this->shares, account, amount, objective),
      on_decided);
  this->Take(place, place->request.Start(base::Now()));
}

void AccountLimits::OnGrant(const core::CreditGrant& grant) {
  const base::Instant now = base::Now();
  for (auto place = this->waiting.begin(); place != this->waiting.end();) {
    // A decision removes this request only; new ones come at the end.
    const auto current = place++;
    this->Take(current, current->request.OnGrant(grant, now));
  }
}

void AccountLimits::Take(std::list<Waiting>::iterator place,
                         const core::CreditStep& step) {
  if (std::holds_alternative<core::KeepWaiting>(step)) {
    return;
  }
  if (const auto* question = std::get_if<core::AskPeers>(&step)) {
    place->timer.Start(place->request.Timeout(), [this, place] {
      this->Take(place, place->request.OnTimeout(base::Now()));
    });
    if (this->ask) {
      this->ask(*question);
    }
    return;
  }
  const OnDecided on_decided = std::move(place->on_decided);
  // The timer that may have called this is destroyed after the callback.
  std::list<Waiting> decided;
  decided.splice(decided.begin(), this->waiting, place);
  on_decided(step);
}

}  // namespace carawayvalve::gateway
