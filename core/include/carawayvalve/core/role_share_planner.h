#ifndef CARAWAYVALVE_CORE_ROLE_SHARE_PLANNER_H_
#define CARAWAYVALVE_CORE_ROLE_SHARE_PLANNER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/backend_directory.h"
#include "carawayvalve/core/role_planner.h"

namespace carawayvalve::core {

// Plans how many engines of a service read prompts and how many generate.
//
// An engine in the prefill role reads about twice as fast as one that reads
// between the tokens of what it generates, and each such reading holds the
// streams of its engine up. So most engines read, and a few generate. Each data
// centre gets both roles, since KV caches move slowly between data centres. A
// change takes an engine away for seconds, longer than a swing of the demand
// lasts: shares follow the engines that there are, not the demand.
class RoleSharePlanner {
 public:
  struct Settings {
    // The part of the engines that read prompts.
    double prefill_share = 0.75;
    // An engine isn't ordered again within this time.
    base::Duration dwell = std::chrono::seconds(8);
    // Under load a data centre keeps its roles until it is so many engines off.
    int64_t tolerance = 2;
    // Changes at a time under load; without load there is no limit.
    size_t max_changes_under_load = 1;

    bool operator==(const Settings&) const = default;
  };

  explicit RoleSharePlanner(const Settings& settings) : settings(settings) {}

  // Returns the changes to order now. `engines` are all engines of a service.
  std::vector<RoleChange> Plan(const std::vector<BackendEntry>& engines,
                               bool under_load,
                               base::Instant now) const;

  // A change was ordered; its engine counts as changed for the dwell time.
  void NoteOrdered(const RoleChange& change, base::Instant now);

 private:
  struct Order {
    config::EngineRole role = config::EngineRole::kMixed;
    base::Instant at;
  };

  // The order of an engine that it may still be carrying out, if any.
  const Order* PendingOrder(const BackendEntry& engine,
                            base::Instant now) const;
  bool IsPrefillEngine(const BackendEntry& engine, base::Instant now) const;
  std::vector<RoleChange> PlanDataCentre(
      const std::vector<const BackendEntry*>& engines,
      bool under_load,
      base::Instant now) const;

  Settings settings;
  std::map<base::BackendServerId, Order> ordered;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ROLE_SHARE_PLANNER_H_
