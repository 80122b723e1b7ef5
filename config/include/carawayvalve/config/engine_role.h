#ifndef CARAWAYVALVE_CONFIG_ENGINE_ROLE_H_
#define CARAWAYVALVE_CONFIG_ENGINE_ROLE_H_

#include <optional>
#include <string>

#include "carawayvalve/config/configuration.h"

namespace carawayvalve::config {

// Returns "mixed", "prefill" or "decode".
std::string EngineRoleName(EngineRole role);

// Returns nothing when no role has that name.
std::optional<EngineRole> FindEngineRole(const std::string& name);

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_ENGINE_ROLE_H_
