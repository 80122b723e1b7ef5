#ifndef CARAWAYVALVE_CORE_ROLE_SHARE_PLANNER_H_
#define CARAWAYVALVE_CORE_ROLE_SHARE_PLANNER_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/backend_directory.h"
#include "carawayvalve/core/role_planner.h"

namespace carawayvalve::core {

// Plans how many engines of a service prefill and how many decode.
//
// An engine in the prefill role prefills about twice as fast as one that
// prefills between its decoding steps, where each prefill also delays the
// streams of that engine. So most engines prefill, and a few decode, unless
// engines have few slots: a stream holds its slot until it ends, so that slots
// rather than prefills limit what the decode engines serve. Each data centre
// gets both roles, since KV caches move slowly between data centres. A role
// change takes an engine out of service for seconds, longer than a swing in
// demand lasts, so the shares follow the engines, not the demand.
class RoleSharePlanner {
 public:
  struct Settings {
    // Share of the engines that prefill if they have many slots. It falls in
    // proportion to the slots below `many_slots`, towards `min_prefill_share`.
    double prefill_share = 0.75;
    double min_prefill_share = 0.4;
    int64_t many_slots = 32;
    // Minimum time between two orders to the same engine.
    base::Duration dwell = std::chrono::seconds(8);
    // Under load, roles in a data centre change only if its number of prefill
    // engines is off by at least this many or a role is missing.
    int64_t tolerance = 2;
    // Maximum number of changes per plan under load; unlimited without load.
    size_t max_changes_under_load = 1;
    // While engines of several software versions serve, each version of that
    // many engines or more gets as many decode engines: a stream that breaks
    // off goes on at its own version only.
    size_t decode_engines_per_version = 2;

    bool operator==(const Settings&) const = default;
  };

  explicit RoleSharePlanner(const Settings& settings) : settings(settings) {}

  // Returns the role changes to order now. `engines` are all engines of a
  // service.
  std::vector<RoleChange> Plan(const std::vector<BackendEntry>& engines,
                               bool under_load,
                               base::Instant now) const;

  // Records that a change was ordered; its engine counts as changed for the
  // dwell time.
  void NoteOrdered(const RoleChange& change, base::Instant now);

 private:
  // Returns the share of the engines that is to prefill.
  double PrefillShare(const std::vector<const BackendEntry*>& engines) const;
  struct Order {
    config::EngineRole role = config::EngineRole::kMixed;
    base::Instant at;
  };

  // Returns the order that the engine may still be carrying out, or null.
  const Order* PendingOrder(const BackendEntry& engine,
                            base::Instant now) const;
  bool IsPrefillEngine(const BackendEntry& engine, base::Instant now) const;
  using Engines = std::vector<const BackendEntry*>;

  // The engines that must decode, for the sake of their software versions.
  std::set<base::BackendServerId> DecodeEnginesByVersion(
      const Engines& engines,
      base::Instant now) const;
  std::vector<RoleChange> PlanDataCentre(
      const Engines& engines,
      const std::set<base::BackendServerId>& must_decode,
      bool under_load,
      base::Instant now) const;

  Settings settings;
  std::map<base::BackendServerId, Order> ordered;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ROLE_SHARE_PLANNER_H_
