#ifndef CARAWAYVALVE_GATEWAY_SRC_GATEWAY_STATE_H_
#define CARAWAYVALVE_GATEWAY_SRC_GATEWAY_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/core/account_rate_shares.h"
#include "carawayvalve/core/backend_directory.h"
#include "carawayvalve/core/backend_health.h"
#include "carawayvalve/core/backend_rate_limits.h"
#include "carawayvalve/core/crash_correlator.h"
#include "carawayvalve/core/crash_state_schedule.h"
#include "carawayvalve/core/fleet_load.h"
#include "carawayvalve/core/key_freshness.h"
#include "carawayvalve/core/placement.h"
#include "carawayvalve/core/poison_request_tracker.h"
#include "carawayvalve/core/prefix_cache_tracker.h"
#include "carawayvalve/core/recent_state_schedule.h"
#include "carawayvalve/core/reported_load.h"
#include "carawayvalve/core/retry_budget_members.h"
#include "carawayvalve/core/retry_budget_share.h"
#include "carawayvalve/core/serving_table.h"
#include "carawayvalve/core/silence_detector.h"
#include "carawayvalve/core/speed_estimator.h"
#include "carawayvalve/core/stop_schedule.h"
#include "carawayvalve/core/stream_origins.h"
#include "carawayvalve/core/unreadable_entries.h"
#include "carawayvalve/core/wall_clock_estimator.h"
#include "carawayvalve/core/window_counts.h"
#include "carawayvalve/gateway/settings.h"

namespace carawayvalve::gateway {

// The duty for which the gateways compete: reporting usage and ordering roles.
inline constexpr char kDutyName[] = "duties";

// The origin of a stream, and how many more messages are to tell it.
struct UntoldOrigin {
  core::StreamOrigin origin;
  base::Instant noted;
  int64_t messages_left = 0;
};

// What was observed of a backend server's speed, to be told to the peers.
struct UntoldSpeed {
  base::BackendServerId backend_server;
  int64_t started_ms = 0;
  core::SpeedObservation observed;
};

// What a gateway knows about the configuration, the backend servers and its
// peers. Not thread-safe: used on the event loop only.
struct GatewayState {
  explicit GatewayState(const GatewaySettings& settings);
  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  // Returns this gateway's share of the retry budget of a service, which is
  // created on first use.
  core::RetryBudgetShare& RetryBudget(const base::ServiceId& service);
  // Records that a backend server crashed or restarted. Returns the requests
  // that it was running: each may be the cause.
  std::vector<core::BrokenRequest> NoteBackendCrash(
      const base::BackendServerId& id,
      base::Instant now);
  // Sets this gateway and the live peers, which share the rate limits of
  // backend servers.
  void SetLiveHosts(const std::vector<base::HostId>& hosts, base::Instant now);
  // Records that a gateway has stopped or restarted.
  void NoteGatewayLost(base::Instant now) { this->gateway_lost = now; }
  // Returns whether there may be live peers.
  bool MayHavePeers(base::Instant now) const;
  // Returns whether gateways that were lost within `time` may have stored what
  // this one hasn't read yet.
  bool MayBeStored(base::Duration time, base::Instant now) const;
  // Applies bounds that were reloaded while the process runs.
  void ApplyBounds(const GatewaySettings::Bounds& bounds);
  // Applies a serving plan. Returns false, without applying it, unless it is
  // newer than the current one.
  bool ApplyPlan(const config::ServingPlan& plan);

  GatewaySettings settings;
  base::BootId boot;
  base::Instant started;
  // Null until the first plan is applied.
  std::shared_ptr<const core::ServingTable> table;
  core::KeyFreshness key_freshness;
  core::BackendDirectory directory;
  core::BackendHealth health;
  core::BackendRateLimits rate_limits;
  core::SilenceDetector silence;
  core::FleetLoad load;
  core::ReportedLoad reported_load;
  core::PrefixCacheTracker prefix_caches;
  core::Placer placer;
  core::SpeedEstimator speeds;
  // Since the last message to the peers.
  std::vector<UntoldSpeed> untold_speeds;
  // When the estimate of each service was last logged.
  std::map<base::ServiceId, base::Instant> speeds_logged;
  core::PoisonRequestTracker poison_requests;
  core::CrashCorrelator crash_correlator;
  // When what is known of crashes is read and stored.
  core::CrashStateSchedule crash_state{core::CrashStateSchedule::Settings{}};
  core::StreamOrigins stream_origins;
  // The origins of streams that this gateway serves and has not told often
  // enough to those that keep them.
  std::vector<UntoldOrigin> untold_origins;
  // When what the successors of all gateways need is stored.
  core::RecentStateSchedule recent_state;
  core::WindowCounts usage;
  core::WallClockEstimator wall_clock;
  // The engines that this gateway has ordered to change their roles, with the
  // time until which they are expected to decline requests.
  std::map<base::BackendServerId, base::Instant> changing_roles;
  // When each backend server was last connected to, to find out whether it has
  // crashed.
  std::map<base::BackendServerId, base::Instant> probed;
  // The entries of the store that were logged.
  core::UnreadableEntries unreadable_entries;
  // The poison parts that were logged.
  std::set<std::string> logged_poison_parts;
  // This gateway and the live peers.
  std::vector<base::HostId> live_hosts;
  // The gateways that share the slack of the retry budget.
  core::RetryBudgetMembers retry_members;
  // The rate limits of client accounts.
  core::AccountRateShares account_rates;
  // When each peer was last heard.
  std::map<base::HostId, base::Instant> peers_heard;
  // When a gateway was last found to have stopped or restarted; this one has
  // restarted when it starts.
  base::Instant gateway_lost;
  // When the last complete reading of what gateways store was begun.
  std::optional<base::Instant> stored_read;
  // The store's highest era that this gateway or a peer has seen.
  int64_t store_era = 0;
  // This gateway reports the usage of all gateways.
  bool reports_usage = false;
  core::StopSchedule stop;

 private:
  void SetAccountLimits();

  std::map<base::ServiceId, core::RetryBudgetShare> retries;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_GATEWAY_STATE_H_
