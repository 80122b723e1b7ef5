#ifndef CARAWAYVALVE_GATEWAY_SRC_GATEWAY_STATE_H_
#define CARAWAYVALVE_GATEWAY_SRC_GATEWAY_STATE_H_

#include <map>
#include <memory>
#include <string>

#include "carawayvalve/core/backend_directory.h"
#include "carawayvalve/core/backend_health.h"
#include "carawayvalve/core/crash_correlator.h"
#include "carawayvalve/core/fleet_load.h"
#include "carawayvalve/core/key_freshness.h"
#include "carawayvalve/core/placement.h"
#include "carawayvalve/core/poison_request_tracker.h"
#include "carawayvalve/core/prefix_cache_tracker.h"
#include "carawayvalve/core/retry_budget_members.h"
#include "carawayvalve/core/retry_budget_share.h"
#include "carawayvalve/core/serving_table.h"
#include "carawayvalve/core/silence_detector.h"
#include "carawayvalve/core/wall_clock_estimator.h"
#include "carawayvalve/core/window_counts.h"
#include "carawayvalve/gateway/settings.h"

namespace carawayvalve::gateway {

// All that a gateway knows of its surroundings.
struct GatewayState {
  explicit GatewayState(const GatewaySettings& settings);
  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  // The retries of one service.
  core::RetryBudgetShare& RetryBudget(const base::ServiceId& service);
  // A backend server is down, or has started anew: what it was running may be
  // what it died of.
  void NoteBackendCrash(const base::BackendServerId& id, base::Instant now);
  // Takes bounds over that have changed while the process runs.
  void ApplyBounds(const GatewaySettings::Bounds& bounds);
  // Puts a plan in force unless a newer one is. Returns whether it did.
  bool ApplyPlan(const config::ServingPlan& plan);

  GatewaySettings settings;
  base::BootId boot;
  // Null until the first plan is known.
  std::shared_ptr<const core::ServingTable> table;
  core::KeyFreshness key_freshness;
  core::BackendDirectory directory;
  core::BackendHealth health;
  core::SilenceDetector silence;
  core::FleetLoad load;
  core::PrefixCacheTracker prefix_caches;
  core::Placer placer;
  core::PoisonRequestTracker poison_requests;
  core::CrashCorrelator crash_correlator;
  core::WindowCounts usage;
  core::WallClockEstimator wall_clock;
  // Engines that this gateway has ordered to change their roles, and until when
  // they are expected to decline requests.
  std::map<base::BackendServerId, base::Instant> changing_roles;
  // The gateways, which share the slack of the retry budget.
  core::RetryBudgetMembers retry_members;
  bool stopping = false;

 private:
  std::map<base::ServiceId, core::RetryBudgetShare> retries;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_GATEWAY_STATE_H_
