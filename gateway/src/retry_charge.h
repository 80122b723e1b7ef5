#ifndef CARAWAYVALVE_GATEWAY_SRC_RETRY_CHARGE_H_
#define CARAWAYVALVE_GATEWAY_SRC_RETRY_CHARGE_H_

#include "context.h"

namespace carawayvalve::gateway {

// Whether a retry of one of the service's requests is left to this gateway.
bool HasRetryBudget(Context& context, const base::ServiceId& service);

// Charges a retry, the next arrival of a request that has arrived before, to
// this gateway's share. Returns whether one was left; logs either outcome with
// the figures that decided it.
bool ChargeRetry(Context& context,
                 const base::ServiceId& service,
                 const base::RequestId& request);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_RETRY_CHARGE_H_
