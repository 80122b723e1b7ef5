#ifndef CARAWAYVALVE_CORE_ROLE_SHARE_PLANNER_H_
#define CARAWAYVALVE_CORE_ROLE_SHARE_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/backend_directory.h"
#include "carawayvalve/core/fleet_load.h"
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
// demand lasts, so the shares follow the engines, not the demand, as long as a
// data centre has few engines. With many, an order gains nothing while the
// engines of that role have little to do: beyond a number that serves a first
// rush, engines change only towards a role whose present engines have been busy
// for as long as an order keeps an engine from serving.
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
    // Number of engines of each role from which on more are ordered only if
    // most of these are busy. A rush that comes before any load is known finds
    // this many at least.
    int64_t engines_for_rush = 32;
    // How long these must have been busy without a pause: an order takes its
    // engine out of service for about this time (platform documentation: three
    // seconds after its running requests have ended), so that it gains nothing
    // in a swing that ends earlier.
    base::Duration busy_for = std::chrono::seconds(3);
    // While engines of several software versions serve, each version of that
    // many engines or more gets as many decode engines: a stream that breaks
    // off goes on at its own version only.
    size_t decode_engines_per_version = 2;

    bool operator==(const Settings&) const = default;
  };

  using LoadOf = std::function<BackendLoad(const base::BackendServerId&)>;

  explicit RoleSharePlanner(const Settings& settings) : settings(settings) {}

  // Returns the role changes to order now. `engines` are all engines of a
  // service; `load_of` returns the load of each.
  std::vector<RoleChange> Plan(
      const std::vector<BackendEntry>& engines,
      bool under_load,
      base::Instant now,
      const LoadOf& load_of = [](const auto&) { return BackendLoad(); });

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
      base::Instant now,
      const LoadOf& load_of);
  // Returns how many engines of a data centre should change to the prefill
  // role; to the decode role if negative. `wanted` are to prefill.
  int64_t MissingPrefillEngines(const Engines& engines,
                                int64_t wanted,
                                base::Instant now,
                                const LoadOf& load_of);
  // Returns whether the engines of a role have been busy for `busy_for`.
  bool StayBusy(const Engines& engines,
                bool prefill,
                base::Instant now,
                const LoadOf& load_of);
  // Returns whether most engines of a role have work that waits or little room.
  bool AreBusy(const Engines& engines,
               bool prefill,
               base::Instant now,
               const LoadOf& load_of) const;

  Settings settings;
  std::map<base::BackendServerId, Order> ordered;
  // A role of the engines of a service in a data centre.
  struct RoleGroup {
    base::ServiceId service;
    base::DataCentreId data_centre;
    bool prefill = false;

    auto operator<=>(const RoleGroup&) const = default;
  };
  // Since when most engines of the group have been busy.
  std::map<RoleGroup, base::Instant> busy_since;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ROLE_SHARE_PLANNER_H_
