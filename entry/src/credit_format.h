#ifndef CARAWAYVALVE_ENTRY_SRC_CREDIT_FORMAT_H_
#define CARAWAYVALVE_ENTRY_SRC_CREDIT_FORMAT_H_

#include "carawayvalve/core/account_rate_shares.h"
#include "carawayvalve_types.h"

namespace carawayvalve::entry {

// Conversions of what entry processes tell each other of rate limits. Credit
// never gets younger or larger on the way.

// `now`: what the ages of the credit count from.
wire::gen::CreditGrant ToWire(const core::CreditGrant& grant,
                              base::Instant now);
// `reference`: a reading of this process's clock, at most that at which the
// giver determined the ages.
core::CreditGrant FromWire(const wire::gen::CreditGrant& grant,
                           base::Instant reference);
wire::gen::CreditQuestion ToWire(const core::CreditQuestion& question);
core::CreditQuestion FromWire(const wire::gen::CreditQuestion& question);

// A reading of this process's clock, in microseconds.
int64_t ToClockUs(base::Instant instant);
base::Instant FromClockUs(int64_t clock_us);

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CREDIT_FORMAT_H_
