#ifndef CARAWAYVALVE_AGENT_SRC_WIRE_CONVERSION_H_
#define CARAWAYVALVE_AGENT_SRC_WIRE_CONVERSION_H_

#include "attempt_service.h"
#include "carawayvalve/core/order_gate.h"
#include "carawayvalve/core/usage_ledger.h"
#include "carawayvalve_types.h"

namespace carawayvalve::agent {

// `now` is the agent's clock, from which the deadline is computed. Throws
// base::Error when the submission carries no call.
Job FromWire(const wire::gen::Submission& submission, base::Instant now);

core::StampedOrder FromWire(const wire::gen::Order& order);
wire::gen::OrderOutcome::type ToWire(const core::OrderResult& result);

wire::gen::UsageCounter ToWire(const core::UsageCounter& counter);

wire::gen::Chunk ToWire(const base::AttemptId& attempt,
                        const core::AttemptView& view);

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_WIRE_CONVERSION_H_
