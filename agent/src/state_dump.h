#ifndef CARAWAYVALVE_AGENT_SRC_STATE_DUMP_H_
#define CARAWAYVALVE_AGENT_SRC_STATE_DUMP_H_

#include <map>
#include <string>

#include "agent_handler.h"
#include "attempt_service.h"
#include "carawayvalve/agent/settings.h"
#include "carawayvalve/systems/operator_server.h"
#include "usage_counters.h"

namespace carawayvalve::agent {

// Returns the handlers of the agent's operator pages by path: health, metrics
// and state dump. The arguments must outlive the handlers.
std::map<std::string, systems::OperatorServer::Handler> OperatorPages(
    const AgentSettings& settings,
    AgentHandler& handler,
    AttemptService& attempts,
    const UsageCounters& usage);

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_STATE_DUMP_H_
