#include "carawayvalve/agent/settings.h"

#include <nlohmann/json.hpp>

#include "carawayvalve/base/field_reader.h"

namespace carawayvalve::agent {

namespace {

constexpr int64_t kMaxDurationMs = 24 * 3600 * 1000;

}  // namespace

AgentSettings ParseAgentSettings(const std::string& text,
                                 const std::string& source) {
  const nlohmann::json document = base::ParseJson(text, source);
  std::vector<base::Fault> faults;
  base::FieldReader reader(document, "", faults);
  AgentSettings settings;
  settings.host = {reader.String("host")};
  settings.data_centre = {reader.String("data_centre")};
  settings.backend_server = {reader.String("backend_server")};
  settings.service = {reader.String("service")};
  settings.backend_kind = reader.Choice("backend_kind", {"model", "plain"}) == 0
                              ? BackendKind::kModel
                              : BackendKind::kPlain;
  settings.backend_address = reader.String("backend_address");
  settings.peer_address = reader.String("peer_address");
  settings.operator_address = reader.String("operator_address");
  settings.object_api_address = reader.String("object_api_address");
  settings.slots =
      static_cast<int32_t>(reader.Integer("slots", 1, 512, settings.slots));
  settings.max_queued_per_account = static_cast<int32_t>(reader.Integer(
      "max_queued_per_account", 1, 100000, settings.max_queued_per_account));
  settings.load_interval_ms = reader.Integer(
      "load_interval_ms", 10, kMaxDurationMs, settings.load_interval_ms);
  settings.attempt_retention_ms = reader.Integer(
      "attempt_memory_ms", 1000, kMaxDurationMs, settings.attempt_retention_ms);
  settings.drain_timeout_ms = reader.Integer(
      "drain_timeout_ms", 0, kMaxDurationMs, settings.drain_timeout_ms);
  settings.log_level = static_cast<base::LogLevel>(
      reader.Choice("log_level", {"debug", "info", "warning", "error"}, 1));
  reader.Finish();
  base::ThrowIfAny(faults, source);
  return settings;
}

std::string PrintDefaultAgentSettings() {
  return R"({
  // The host that this agent runs on, as the platform's host list names it.
  "host": "bench-host-1",
  "data_centre": "scot-central-a",
  // The backend server that this agent serves, and its service.
  "backend_server": "bench-1",
  "service": "bench-models",
  // "model" for an engine, "plain" for any other HTTP service.
  "backend_kind": "model",
  "backend_address": "127.0.0.1:9000",
  // The address at which entry processes reach this agent (Thrift).
  "peer_address": "127.0.0.1:7400",
  // The address that serves /healthz, /metrics and /dump to operators.
  "operator_address": "127.0.0.1:7500",
  "object_api_address": "127.0.0.1:8000",
  // Maximum number of requests that the backend server runs concurrently.
  "slots": 16,
  // Maximum number of queued requests per client account, until a
  // configuration sets another.
  "max_queued_per_account": 256,
  // The interval at which the agent reads the backend server's load.
  "load_interval_ms": 250,
  // How long the record of an attempt that has ended is kept.
  "attempt_memory_ms": 660000,
  // How long a planned stop waits for the requests in flight to end and for
  // their usage to be collected.
  "drain_timeout_ms": 60000,
  // debug, info, warning or error
  "log_level": "info"
}
)";
}

}  // namespace carawayvalve::agent
