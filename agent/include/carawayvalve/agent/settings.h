#ifndef CARAWAYVALVE_AGENT_SETTINGS_H_
#define CARAWAYVALVE_AGENT_SETTINGS_H_

#include <cstdint>
#include <string>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/log.h"

namespace carawayvalve::agent {

enum class BackendKind { kModel, kPlain };

// The settings of one agent, as read from its settings file.
struct AgentSettings {
  base::HostId host;
  base::DataCentreId data_centre;
  base::BackendServerId backend_server;
  base::ServiceId service;
  BackendKind backend_kind = BackendKind::kPlain;
  std::string backend_address;
  std::string peer_address;
  std::string operator_address;
  std::string object_api_address;
  // Maximum number of requests that the backend server runs concurrently.
  int32_t slots = 16;
  int32_t max_queued_per_account = 256;
  int64_t load_interval_ms = 250;
  int64_t attempt_retention_ms = 660000;
  int64_t drain_timeout_ms = 60000;
  base::LogLevel log_level = base::LogLevel::kInfo;

  bool operator==(const AgentSettings&) const = default;
};

// Parses settings from JSON with comments. `source` names the file in errors.
// Throws base::Error that lists every fault with its path, the reason and the
// allowed values.
AgentSettings ParseAgentSettings(const std::string& text,
                                 const std::string& source);

// Returns an example settings file with a comment on every field.
std::string PrintDefaultAgentSettings();

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SETTINGS_H_
