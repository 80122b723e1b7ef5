#include "agent_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace carawayvalve::agent {

namespace {

void AddTotals(prometheus::Registry& registry,
               const AttemptService::Totals& totals) {
  auto& family = prometheus::BuildCounter()
                     .Name("carawayvalve_agent_attempts_total")
                     .Help("Attempts by what became of them")
                     .Register(registry);
  const auto add = [&](const char* outcome, int64_t count) {
    family.Add({{"outcome", outcome}}).Increment(static_cast<double>(count));
  };
  add("accepted", totals.accepted);
  add("refused", totals.refused);
  add("answered", totals.answered);
  add("broken_off", totals.broken_off);
  add("cancelled", totals.cancelled);
  add("not_run", totals.not_run);
}

void AddUsage(prometheus::Registry& registry, const core::UsageFigures& usage) {
  auto& family = prometheus::BuildCounter()
                     .Name("carawayvalve_agent_usage_total")
                     .Help("Counted to be billed, of all client accounts")
                     .Register(registry);
  const auto add = [&](const char* of, int64_t count) {
    family.Add({{"of", of}}).Increment(static_cast<double>(count));
  };
  add("requests", usage.requests);
  add("prompt_tokens", usage.prompt_tokens);
  add("output_tokens", usage.output_tokens);
}

void AddState(prometheus::Registry& registry,
              const wire::gen::AgentStatus& status) {
  auto& family = prometheus::BuildGauge()
                     .Name("carawayvalve_agent_state")
                     .Help("Attempts queued and running, generation, readiness")
                     .Register(registry);
  const auto set = [&](const char* of, int64_t value) {
    family.Add({{"of", of}}).Set(static_cast<double>(value));
  };
  set("queued", status.queued);
  set("running", status.running);
  set("slots", status.slots);
  set("configuration_generation", status.generation);
  set("ready", status.ready ? 1 : 0);
}

}  // namespace

std::string PrintMetrics(AgentHandler& handler,
                         const AttemptService& attempts,
                         const UsageCounters& usage) {
  // The values are kept elsewhere, so each call fills a new registry.
  prometheus::Registry registry;
  AddTotals(registry, attempts.totals());
  AddUsage(registry, usage.state().totals);
  wire::gen::AgentStatus status;
  handler.status(status, -1, 0);
  AddState(registry, status);
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace carawayvalve::agent
