#ifndef CARAWAYVALVE_CORE_SRC_PLACEMENT_ENGINES_H_
#define CARAWAYVALVE_CORE_SRC_PLACEMENT_ENGINES_H_

#include "carawayvalve/base/time.h"
#include "carawayvalve/core/backend_directory.h"

namespace carawayvalve::core {

inline base::Duration FromMs(double ms) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

inline bool IsPrefillEngine(const BackendEntry& entry) {
  return entry.role == config::EngineRole::kPrefill;
}

inline bool IsDecodeEngine(const BackendEntry& entry) {
  return entry.role.has_value() && !IsPrefillEngine(entry);
}

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SRC_PLACEMENT_ENGINES_H_
