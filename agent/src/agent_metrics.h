#ifndef CARAWAYVALVE_AGENT_SRC_AGENT_METRICS_H_
#define CARAWAYVALVE_AGENT_SRC_AGENT_METRICS_H_

#include <string>

#include "agent_handler.h"
#include "attempt_service.h"
#include "usage_counters.h"

namespace carawayvalve::agent {

// Returns the agent's metrics in the Prometheus text format.
std::string PrintMetrics(AgentHandler& handler,
                         const AttemptService& attempts,
                         const UsageCounters& usage);

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_AGENT_METRICS_H_
