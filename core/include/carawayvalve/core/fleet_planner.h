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
  // The maximum delay until the platform's list reflects an order.
  base::Duration list_lag = std::chrono::seconds(5);

  bool operator==(const FleetPlannerOptions&) const = default;
};

// Returns the share of `total` for data centre `self`, 0 when it isn't in
// `data_centres`. The shares of all data centres that know the same list add up
// to the total, so each data centre can plan on its own.
int32_t DataCentreShare(int32_t total,
                        std::vector<base::DataCentreId> data_centres,
                        const base::DataCentreId& self);

// The minimum number of backend servers of one service in this data centre.
struct FleetMinimum {
  base::ServiceId service;
  int32_t min_servers = 0;

  bool operator==(const FleetMinimum&) const = default;
};

// A backend server in the platform's list for this data centre.
struct ListedServer {
  base::BackendServerId name;
  base::ServiceId service;
  // True while it starts or runs, false while it stops.
  bool active = true;

  bool operator==(const ListedServer&) const = default;
};

// Decides which backend servers the holder of one data centre's fleet duty
// starts. It stops none: a stop that cuts no request needs a drain that ends
// before the order, and nothing performs such a drain yet. A new holder uses a
// new planner, which orders nothing until the list reflects the previous
// holder's orders.
class FleetPlanner {
 public:
  FleetPlanner(const FleetPlannerOptions& options, base::Instant now);

  // Returns the order to place now, if any. `servers` must have been read after
  // the previous order was concluded.
  std::optional<FleetOrder> Plan(const std::vector<FleetMinimum>& minimums,
                                 const std::vector<ListedServer>& servers,
                                 base::Instant now);

  // Records the outcome of an order. For a start that was done, `started` is
  // the new server.
  void RecordOutcome(FleetOutcome outcome,
                     const ListedServer& started,
                     base::Instant now);

 private:
  // A started server that isn't in the platform's list yet.
  struct Unlisted {
    base::ServiceId service;
    base::Instant until;
  };

  void PruneUnlisted(const std::vector<ListedServer>& servers,
                     base::Instant now);
  int32_t CountServers(const base::ServiceId& service,
                       const std::vector<ListedServer>& servers) const;

  FleetPlannerOptions options;
  // No order is placed before this instant.
  base::Instant order_after;
  std::map<base::BackendServerId, Unlisted> unlisted;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_FLEET_PLANNER_H_
