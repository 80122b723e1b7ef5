#include <cmath>
#include <utility>

#include "request_handler.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kTooManyRequests = 429;

}  // namespace

void RequestHandler::ChargeAccount() {
  GatewayState& state = this->context.state;
  if (this->account == nullptr || !this->account->rate_limit.has_value() ||
      !state.account_rates.HasLimit(this->account->name)) {
    this->Begin();
    return;
  }
  const auto self = this->shared_from_this();
  this->context.account_limits.Admit(
      this->account->name,
      RateAmountOf(this->caller, *this->account->rate_limit),
      this->route->objective,
      [self](const core::CreditStep& step) { self->OnAccountDecided(step); });
}

void RequestHandler::OnAccountDecided(const core::CreditStep& step) {
  if (const auto* admitted = std::get_if<core::AccountAdmitted>(&step)) {
    this->account_charge = admitted->charge;
    if (this->ended) {
      this->RefundAccount();
    } else {
      this->Begin();
    }
    return;
  }
  if (this->ended) {
    return;
  }
  const auto* exceeded = std::get_if<core::AccountExceeded>(&step);
  this->LogAccountRefused(exceeded);
  if (exceeded != nullptr) {
    this->RefuseWith(kTooManyRequests, "beyond the account's rate limit",
                     exceeded->retry_after);
  } else {
    this->RefuseWith(kTooManyRequests,
                     "the request counts more than the account's rate limit "
                     "ever allows at once",
                     std::nullopt);
  }
}

void RequestHandler::LogAccountRefused(const core::AccountExceeded* exceeded) {
  const base::Instant now = base::Now();
  GatewayState& state = this->context.state;
  const core::AccountRateStatus status =
      state.account_rates.Statuses(now)[this->account->name];
  this->context.metrics.CountAccountRefusal(exceeded == nullptr ? "too_large"
                                                                : "exceeded");
  this->context.journal.Write(
      base::LogLevel::kInfo, "account_refused",
      {{"request", this->caller.id.value},
       {"account", this->account->name.value},
       {"amount", RateAmountOf(this->caller, *this->account->rate_limit)},
       {"retry_after_ms",
        exceeded == nullptr ? -1 : base::ToMilliseconds(exceeded->retry_after)},
       {"share_per_second", status.share_per_second},
       {"balance", status.balance},
       {"grant_age_ms", status.grant_age.has_value()
                            ? base::ToMilliseconds(*status.grant_age)
                            : -1},
       {"gateways", state.retry_members.RateDivisor(now).value_or(0)},
       {"age_ms", this->AgeMs(now)}});
}

void RequestHandler::RefundAccount() {
  const core::Credit charge = std::exchange(this->account_charge, {});
  if (!charge.empty()) {
    this->context.state.account_rates.Refund(this->account->name, charge,
                                             base::Now());
  }
}

}  // namespace carawayvalve::gateway
