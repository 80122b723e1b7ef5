#include "carawayvalve/config/engine_role.h"

namespace carawayvalve::config {

std::string EngineRoleName(EngineRole role) {
  switch (role) {
    case EngineRole::kMixed:
      return "mixed";
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
  }
  return "mixed";
}

std::optional<EngineRole> FindEngineRole(const std::string& name) {
  for (const EngineRole role :
       {EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode}) {
    if (EngineRoleName(role) == name) {
      return role;
    }
  }
  return std::nullopt;
}

}  // namespace carawayvalve::config
