#ifndef CARAWAYVALVE_ENTRY_SRC_FLEET_DUTY_TASK_H_
#define CARAWAYVALVE_ENTRY_SRC_FLEET_DUTY_TASK_H_

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/fleet_order_issuer.h"
#include "carawayvalve/core/fleet_planner.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/systems/backend_servers.h"
#include "carawayvalve/systems/object_api.h"
#include "duty_runner.h"

namespace carawayvalve::entry {

// The task of one data centre's fleet duty: orders the platform to start the
// backend servers that the planner asks for.
class FleetDutyTask {
 public:
  FleetDutyTask(const EntrySettings& settings,
                const base::BootId& self,
                const systems::ObjectApi& store);

  // Runs one round, on the task thread of the duty runner. Returns once no call
  // to the platform can still take effect, so that the lease isn't released
  // earlier.
  void Run(const DutyRunner::GetGrant& get_grant);

  void SetServices(const std::vector<config::Service>& services);
  // Sets the data centres that share the services' backend servers.
  void SetDataCentres(const std::vector<base::DataCentreId>& data_centres);

 private:
  using Event = std::optional<core::FleetEvent>;

  std::vector<core::FleetMinimum> Minimums() const;
  std::vector<core::ListedServer> ListServers() const;
  // Passes the event to the issuer and performs the resulting actions and all
  // that follow from them.
  void HandleEvent(const core::FleetEvent& event,
                   const DutyRunner::GetGrant& get_grant);
  // Perform the action and return the resulting event, if there is one.
  Event Perform(const core::ReadIntent& action) const;
  Event Perform(const core::WriteIntent& action) const;
  Event Perform(const core::CallPlatform& action);
  Event Perform(const core::ReadPlatform& action) const;
  Event Perform(const core::FleetOrderConcluded& action);

  base::DataCentreId data_centre;
  std::string duty_name;
  systems::ObjectApi store;
  systems::BackendServers backend_servers;
  base::Log log;

  mutable std::mutex mutex;
  std::vector<config::Service> services;
  std::vector<base::DataCentreId> data_centres;

  // Used by the task thread only.
  core::FleetOrderIssuer issuer;
  int64_t epoch = 0;
  std::optional<core::FleetPlanner> planner;
  base::Instant next_poll_at;
  // The backend server that the platform's last answer named.
  base::BackendServerId last_started;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_FLEET_DUTY_TASK_H_
