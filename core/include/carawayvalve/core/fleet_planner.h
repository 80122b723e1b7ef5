#ifndef CARAWAYVALVE_CORE_FLEET_PLANNER_H_
#define CARAWAYVALVE_CORE_FLEET_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/fleet_order_issuer.h"

namespace carawayvalve::core {

struct FleetPlannerOptions {
  // How far the platform's list may lag behind an order.
  base::Duration list_lag = std::chrono::seconds(5);

  bool operator==(const FleetPlannerOptions&) const = default;
};

// Returns the part of `total` that falls to `self`, 0 when it isn't among
// `data_centres`. The parts of all data centres that know the same list add up
// to the total, so that each plans alone.
int32_t DataCentreShare(int32_t total,
                        std::vector<base::DataCentreId> data_centres,
                        const base::DataCentreId& self);

// The least number of backend servers of one service in this data centre.
struct FleetMinimum {
  base::ServiceId service;
  int32_t min_servers = 0;

  bool operator==(const FleetMinimum&) const = default;
};

// A backend server in the platform's list of this data centre.
struct ListedServer {
  base::BackendServerId name;
  base::ServiceId service;
  // It starts or runs; false while it stops.
  bool active = true;

  bool operator==(const ListedServer&) const = default;
};

// Decides which backend servers of one data centre are started, for the holder
// of its fleet. It stops none: that a stop cuts no request minimums a drain
// that ends before the order, which nothing brings about yet. A new holder
// begins with a new planner, which orders nothing before the list shows what
// the holder before it ordered.
class FleetPlanner {
 public:
  FleetPlanner(const FleetPlannerOptions& options, base::Instant now);

  // Returns the order to place now; `servers` must have been read after the
  // order before it was concluded.
  std::optional<FleetOrder> Plan(const std::vector<FleetMinimum>& minimums,
                                 const std::vector<ListedServer>& servers,
                                 base::Instant now);

  // `started` names the server of a start that was done.
  void RecordOutcome(FleetOutcome outcome,
                     const ListedServer& started,
                     base::Instant now);

 private:
  // A server that was started and isn't in the platform's list yet.
  struct Unlisted {
    base::ServiceId service;
    base::Instant until;
  };

  void PruneUnlisted(const std::vector<ListedServer>& servers,
                     base::Instant now);
  int32_t CountServers(const base::ServiceId& service,
                       const std::vector<ListedServer>& servers) const;

  FleetPlannerOptions options;
  // No order is placed before.
  base::Instant order_after;
  std::map<base::BackendServerId, Unlisted> unlisted;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_FLEET_PLANNER_H_
