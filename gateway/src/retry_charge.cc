#include "retry_charge.h"

namespace carawayvalve::gateway {

bool HasRetryBudget(Context& context,
                    const base::ServiceId& service,
                    int64_t count) {
  GatewayState& state = context.state;
  const base::Instant now = base::Now();
  return state.RetryBudget(service).CanSpend(
      state.retry_members.SlackDivisor(now), now, count);
}

bool ChargeRetry(Context& context,
                 const base::ServiceId& service,
                 const base::RequestId& request) {
  GatewayState& state = context.state;
  const base::Instant now = base::Now();
  core::RetryBudgetShare& share = state.RetryBudget(service);
  const std::optional<int64_t> slack_divisor =
      state.retry_members.SlackDivisor(now);
  const core::RetryBudgetShare::Balance balance =
      share.Remaining(slack_divisor, now);
  const bool charged = share.TrySpend(slack_divisor, now);
  context.metrics.CountRetry(charged ? "charged" : "denied");
  context.journal.Write(base::LogLevel::kInfo,
                        charged ? "retry_charged" : "retry_denied",
                        {{"request", request.value},
                         {"service", service.value},
                         {"credit", balance.credit},
                         {"slack", balance.slack},
                         {"gateways", slack_divisor.value_or(0)}});
  return charged;
}

}  // namespace carawayvalve::gateway
