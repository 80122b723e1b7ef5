#include "state_dump.h"

#include <nlohmann/json.hpp>

#include "agent_metrics.h"
#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::agent {

namespace {

using nlohmann::json;

const char* PhaseName(core::AttemptPhase phase) {
  return phase == core::AttemptPhase::kQueued ? "queued" : "running";
}

json DumpAttempts(const AttemptService& attempts) {
  json list = json::array();
  for (const auto& [job, phase] : attempts.Snapshot()) {
    list.push_back({{"attempt", job.attempt.value},
                    {"request", job.request.value},
                    {"client_account", job.client_account.value},
                    {"phase", PhaseName(phase)}});
  }
  return list;
}

json DumpUsage(const UsageCounters::State& usage) {
  return {{"window", usage.window}, {"untold_attempts", usage.uncollected}};
}

json DumpState(const AgentSettings& settings,
               AgentHandler& handler,
               const AttemptService& attempts,
               const UsageCounters& usage) {
  wire::gen::AgentStatus status;
  handler.status(status, -1, 0);
  return {{"host", settings.host.value},
          {"backend_server", status.backend_server},
          {"service", status.service_name},
          {"boot", status.agent_boot},
          {"leaving", status.leaving},
          {"ready", status.ready},
          {"configuration_generation", status.generation},
          {"role", status.load.role},
          {"models", status.load.models},
          {"queued", status.queued},
          {"running", status.running},
          {"usage", DumpUsage(usage.state())},
          {"attempts", DumpAttempts(attempts)}};
}

}  // namespace

std::map<std::string, systems::OperatorServer::Handler> OperatorPages(
    const AgentSettings& settings,
    AgentHandler& handler,
    AttemptService& attempts,
    const UsageCounters& usage) {
  return {
      {"/healthz",
       [] {
         return systems::OperatorAnswer{200, "text/plain", "ok\n"};
       }},
      {"/metrics",
       [&] {
         return systems::OperatorAnswer{200, "text/plain; version=0.0.4",
                                        PrintMetrics(handler, attempts, usage)};
       }},
      {"/dump",
       [&] {
         return systems::OperatorAnswer{
             200, "application/json",
             base::PrintJson(DumpState(settings, handler, attempts, usage), 2) +
                 "\n"};
       }},
  };
}

}  // namespace carawayvalve::agent
