#include "carawayvalve/core/fleet_planner.h"

#include <algorithm>

namespace carawayvalve::core {

int32_t DataCentreShare(int32_t total,
                        std::vector<base::DataCentreId> data_centres,
                        const base::DataCentreId& self) {
  std::sort(data_centres.begin(), data_centres.end());
  const auto position =
      std::find(data_centres.begin(), data_centres.end(), self);
  if (position == data_centres.end()) {
    return 0;
  }
  const auto count = static_cast<int32_t>(data_centres.size());
  const bool takes_remainder = position - data_centres.begin() < total % count;
  return total / count + (takes_remainder ? 1 : 0);
}

FleetPlanner::FleetPlanner(const FleetPlannerOptions& options,
                           base::Instant now)
    : options(options), order_after(now + options.list_lag) {}

std::optional<FleetOrder> FleetPlanner::Plan(
    const std::vector<FleetMinimum>& minimums,
    const std::vector<ListedServer>& servers,
    base::Instant now) {
  this->PruneUnlisted(servers, now);
  if (now < this->order_after) {
    return std::nullopt;
  }
  for (const FleetMinimum& minimum : minimums) {
    if (this->CountServers(minimum.service, servers) < minimum.min_servers) {
      return FleetOrder{FleetAction::kStart, minimum.service, {}};
    }
  }
  return std::nullopt;
}

void FleetPlanner::RecordOutcome(FleetOutcome outcome,
                                 const ListedServer& started,
                                 base::Instant now) {
  if (outcome == FleetOutcome::kDone) {
    this->unlisted[started.name] = {started.service,
                                    now + this->options.list_lag};
  } else if (outcome != FleetOutcome::kNotSent) {
    // The list shows within `list_lag` whether the order was carried out.
    this->order_after = now + this->options.list_lag;
  }
}

void FleetPlanner::PruneUnlisted(const std::vector<ListedServer>& servers,
                                 base::Instant now) {
  for (const ListedServer& server : servers) {
    this->unlisted.erase(server.name);
  }
  std::erase_if(this->unlisted,
                [&](const auto& entry) { return now >= entry.second.until; });
}

int32_t FleetPlanner::CountServers(
    const base::ServiceId& service,
    const std::vector<ListedServer>& servers) const {
  const auto listed_count = std::count_if(
      servers.begin(), servers.end(), [&](const ListedServer& server) {
        return server.service == service && server.active;
      });
  const auto unlisted_count = std::count_if(
      this->unlisted.begin(), this->unlisted.end(),
      [&](const auto& entry) { return entry.second.service == service; });
  return static_cast<int32_t>(listed_count + unlisted_count);
}

}  // namespace carawayvalve::core
