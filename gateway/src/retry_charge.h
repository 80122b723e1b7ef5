#ifndef CARAWAYVALVE_GATEWAY_SRC_RETRY_CHARGE_H_
#define CARAWAYVALVE_GATEWAY_SRC_RETRY_CHARGE_H_

#include "context.h"

namespace carawayvalve::gateway {

// Returns whether ChargeRetry would succeed `count` times now.
bool HasRetryBudget(Context& context,
                    const base::ServiceId& service,
                    int64_t count);

// Charges a retry, which is a repeated arrival of a request at backend servers,
// to this gateway's share of the service's retry budget. Returns whether a
// retry was left. Logs either outcome with the balance that decided it.
bool ChargeRetry(Context& context,
                 const base::ServiceId& service,
                 const base::RequestId& request);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_RETRY_CHARGE_H_
