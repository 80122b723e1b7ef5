#include "retry_charge.h"

namespace carawayvalve::gateway {

bool HasRetry(Context& context, const base::ServiceId& service) {
  GatewayState& state = context.state;
  const base::Instant now = base::Now();
  return state.RetryBudget(service).CanSpend(
      state.retry_members.SlackDivisor(now), now);
}

bool ChargeRetry(Context& context,
                 const base::ServiceId& service,
                 const base::RequestId& request) {
  GatewayState& state = context.state;
  const base::Instant now = base::Now();
  core::RetryBudgetShare& share = state.RetryBudget(service);
  const std::optional<int64_t> parts = state.retry_members.SlackDivisor(now);
  const core::RetryBudgetShare::Balance left = share.Remaining(parts, now);
  const bool charged = share.TrySpend(parts, now);
  context.metrics.CountRetry(charged ? "charged" : "denied");
  context.journal.Write(base::LogLevel::kInfo,
                        charged ? "retry_charged" : "retry_denied",
                        {{"request", request.value},
                         {"service", service.value},
                         {"credit", left.credit},
                         {"slack", left.slack},
                         {"gateways", parts.value_or(0)}});
  return charged;
}

}  // namespace carawayvalve::gateway
