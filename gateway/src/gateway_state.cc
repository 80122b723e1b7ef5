#include "gateway_state.h"

#include <algorithm>

namespace carawayvalve::gateway {

namespace {

// Covers the time from the check of a key until its request reaches a backend
// server, and clocks whose rates differ by one percent over the bound.
constexpr base::Milliseconds kKeyDeliveryMargin(400);
// The platform guarantees that entries which expired during an outage of the
// store are back within two seconds of its end; the rest covers the watch.
constexpr base::Milliseconds kEntryGracePeriod(2300);
// Enough to make the ids of all gateway runs distinct; kept short because every
// gossip message carries the id.
constexpr size_t kBootDigits = 16;
// The rest of an engine's KV memory holds its running requests.
constexpr double kPrefixCacheFraction = 0.8;
constexpr int64_t kDefaultKvTokens = 400000;
// Backend servers that have crashed together are mostly back after this time.
constexpr std::chrono::seconds kContentTrial(1);
// A gateway that has just started hears its peers within this time.
constexpr std::chrono::seconds kPeersHeardTime(3);

core::PlacementSettings ToPlacementSettings(const GatewaySettings& settings) {
  core::PlacementSettings placement;
  placement.data_centre = settings.data_centre;
  placement.even_load = settings.even_load;
  return placement;
}

core::StoreOutage::Settings ToOutageSettings(
    const GatewaySettings::Store& store) {
  // A call that takes the whole of its time counts as an outage.
  return {kEntryGracePeriod,
          std::min(store.report_interval, store.call_timeout)};
}

core::RetryBudgetShare::Settings ToRetryBudgetSettings(
    const GatewaySettings::Bounds& bounds) {
  return {bounds.retry_ratio, bounds.retry_slack, bounds.retry_window};
}

}  // namespace

GatewayState::GatewayState(const GatewaySettings& settings)
    : settings(settings),
      boot{base::RandomName().substr(0, kBootDigits)},
      started(base::Now()),
      key_freshness(settings.bounds.key_withdrawal, kKeyDeliveryMargin),
      directory(ToOutageSettings(settings.store)),
      health(core::BackendHealth::Settings{}),
      prefix_caches(kDefaultKvTokens),
      placer(ToPlacementSettings(settings),
             directory,
             health,
             rate_limits,
             silence,
             load,
             prefix_caches,
             reported_load),
      speeds(core::EngineSpeeds{}),
      poison_requests({.content_trial = kContentTrial}),
      retry_members({.window = settings.bounds.retry_window},
                    settings.host,
                    base::Now()),
      recent_state({}, kDutyName, settings.host, this->started),
      gateway_lost(this->started) {}

core::RetryBudgetShare& GatewayState::RetryBudget(
    const base::ServiceId& service) {
  return this->retries
      .try_emplace(service, ToRetryBudgetSettings(this->settings.bounds))
      .first->second;
}

std::vector<core::BrokenRequest> GatewayState::NoteBackendCrash(
    const base::BackendServerId& id,
    base::Instant now) {
  std::vector<core::BrokenRequest> running =
      this->crash_correlator.TakeRunningRequests(id, now);
  for (const core::BrokenRequest& request : running) {
    const std::string crash_id =
        id.value + "/" + std::to_string(request.backend_started_ms);
    this->poison_requests.NoteCrash(request.content, crash_id,
                                    request.broken_at);
  }
  return running;
}

void GatewayState::SetLiveHosts(const std::vector<base::HostId>& hosts,
                                base::Instant now) {
  const bool lost = std::any_of(
      this->live_hosts.begin(), this->live_hosts.end(),
      [&](const base::HostId& host) {
        return std::find(hosts.begin(), hosts.end(), host) == hosts.end();
      });
  if (lost) {
    this->NoteGatewayLost(now);
  }
  this->live_hosts = hosts;
  this->poison_requests.SetProcessCount(static_cast<int64_t>(hosts.size()));
  this->rate_limits.SetSharers(
      {this->settings.host, hosts,
       this->retry_members.HasListed() ? this->retry_members.Count() : 0},
      now);
}

bool GatewayState::MayHavePeers(base::Instant now) const {
  return !this->peers_heard.empty() || now - this->started < kPeersHeardTime;
}

bool GatewayState::MayBeStored(base::Duration time, base::Instant now) const {
  return now - this->gateway_lost < time &&
         (!this->stored_read.has_value() ||
          *this->stored_read < this->gateway_lost);
}

void GatewayState::ApplyBounds(const GatewaySettings::Bounds& bounds) {
  this->settings.bounds = bounds;
  this->key_freshness.SetLimit(bounds.key_withdrawal);
  for (auto& [service, share] : this->retries) {
    share.SetSettings(ToRetryBudgetSettings(bounds));
  }
  this->SetAccountLimits();
}

void GatewayState::SetAccountLimits() {
  core::AccountRateShares::Limits limits;
  if (this->table != nullptr) {
    for (const config::ServingAccount& account :
         this->table->serving_plan().accounts) {
      if (account.rate_limit.has_value()) {
        limits.emplace(account.name, *account.rate_limit);
      }
    }
  }
  this->account_rates.SetLimits(limits,
                                {this->settings.bounds.account_tolerance,
                                 this->settings.bounds.account_slack},
                                base::Now());
}

bool GatewayState::ApplyPlan(const config::ServingPlan& plan) {
  if (this->table != nullptr && plan.version <= this->table->version()) {
    return false;
  }
  this->table = std::make_shared<const core::ServingTable>(plan);
  this->SetAccountLimits();
  int64_t min_kv_tokens = 0;
  for (const config::ServingService& service : plan.services) {
    if (service.engine.has_value() && service.engine->kv_tokens > 0) {
      min_kv_tokens = min_kv_tokens == 0
                          ? service.engine->kv_tokens
                          : std::min(min_kv_tokens, service.engine->kv_tokens);
    }
  }
  if (min_kv_tokens > 0) {
    this->prefix_caches.SetCapacity(static_cast<int64_t>(
        static_cast<double>(min_kv_tokens) * kPrefixCacheFraction));
  }
  return true;
}

}  // namespace carawayvalve::gateway
