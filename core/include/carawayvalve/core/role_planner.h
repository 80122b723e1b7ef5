#ifndef CARAWAYVALVE_CORE_ROLE_PLANNER_H_
#define CARAWAYVALVE_CORE_ROLE_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::core {

// The state of one engine of a service, as last reported by its agent.
struct EngineState {
  base::BackendServerId backend_server;
  config::EngineRole role = config::EngineRole::kMixed;
  // Ready for requests. An engine that isn't ready is never changed, unless it
  // drains.
  bool ready = false;
  int64_t busy_requests = 0;  // queued and running
  // It has received an order that waits until no request runs at it.
  bool draining = false;

  bool operator==(const EngineState&) const = default;
};

struct RoleChange {
  base::BackendServerId backend_server;
  config::EngineRole role = config::EngineRole::kMixed;

  bool operator==(const RoleChange&) const = default;
};

// Plans the role changes of a service's engines: one engine at a time, the
// least busy first, and none that changed less than the rule's dwell time ago.
// A change of a draining engine is planned repeatedly until it is done; the
// engine accepts requests again when that stops. This version maintains the
// rule's minimum numbers of prefill and decode engines; it doesn't follow
// demand yet.
class RolePlanner {
 public:
  explicit RolePlanner(const config::EngineRule& rule);

  // Returns the next change, or nullopt when the rule is met or no permitted
  // change brings it closer.
  std::optional<RoleChange> Plan(const std::vector<EngineState>& engines,
                                 base::Instant now) const;

  // Records that a change was ordered, whatever its outcome.
  void RecordChange(const base::BackendServerId& backend_server,
                    base::Instant now);
  // Records that the order waits for the engine to drain. When that takes too
  // long, the order is abandoned, as if the engine had changed.
  void RecordDraining(const base::BackendServerId& backend_server,
                      base::Instant now);

 private:
  bool MayChange(const EngineState& engine, base::Instant now) const;
  int64_t SpareEngines(const std::vector<EngineState>& engines,
                       config::EngineRole role) const;
  int64_t MinEngines(config::EngineRole role) const;
  std::optional<RoleChange> PlanChangeTo(
      const std::vector<EngineState>& engines,
      config::EngineRole role,
      base::Instant now) const;

  config::EngineRule rule;
  std::map<base::BackendServerId, base::Instant> changed_at;
  std::map<base::BackendServerId, base::Instant> draining_since;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ROLE_PLANNER_H_
