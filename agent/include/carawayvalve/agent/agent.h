#ifndef CARAWAYVALVE_AGENT_AGENT_H_
#define CARAWAYVALVE_AGENT_AGENT_H_

#include "carawayvalve/agent/settings.h"

namespace carawayvalve::agent {

// Runs an agent until the process receives a stop signal. The agent then
// refuses new attempts, waits up to the drain timeout until accepted ones have
// ended, and returns the exit code. Throws base::Error when a listener can't be
// opened.
int RunAgent(const AgentSettings& settings);

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_AGENT_H_
