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

// One engine of a service, as its agent last told.
struct EngineState {
  base::BackendServerId backend_server;
  config::EngineRole role = config::EngineRole::kMixed;
  // Ready for work; one that is not is left alone, unless it drains.
  bool ready = false;
  int64_t busy_requests = 0;  // queued and running
  // An order that it got waits until nothing runs at it.
  bool draining = false;

  bool operator==(const EngineState&) const = default;
};

struct RoleChange {
  base::BackendServerId backend_server;
  config::EngineRole role = config::EngineRole::kMixed;

  bool operator==(const RoleChange&) const = default;
};

// Plans which engine of a service changes its role: one at a time, the least
// busy one, none that changed less than the rule's dwell time ago. A change of
// an engine that drains is planned again and again until it is done; the engine
// takes work again when that stops. This version keeps the rule's least numbers
// of prefill and decode engines; it doesn't follow the demand yet.
class RolePlanner {
 public:
  explicit RolePlanner(const config::EngineRule& rule);

  // Returns the next change, nothing when all is as the rule asks or can be
  // made so.
  std::optional<RoleChange> Plan(const std::vector<EngineState>& engines,
                                 base::Instant now) const;

  // A change was ordered, whatever came of it.
  void RecordChange(const base::BackendServerId& backend_server,
                    base::Instant now);
  // The order waits for the engine to drain. Given up, as if the engine had
  // changed, when that takes too long.
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
