#ifndef CARAWAYVALVE_ENTRY_SRC_STATE_DUMP_H_
#define CARAWAYVALVE_ENTRY_SRC_STATE_DUMP_H_

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "account_rates.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/usage_objects.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/systems/operator_server.h"
#include "configuration_feed.h"
#include "dispatcher.h"
#include "entry_metrics.h"
#include "peer_poller.h"
#include "request_admitter.h"

namespace carawayvalve::entry {

// The objects that the operator pages read. All must outlive the pages.
struct OperatorPageSources {
  const EntrySettings& settings;
  const base::BootId& boot;
  const ConfigurationFeed& feed;
  const PeerPoller& peers;
  const RequestAdmitter& admitter;
  Dispatcher& dispatcher;
  EntryMetrics& metrics;
  AccountRates& rates;
  const std::atomic<bool>& leaving;
  std::function<std::vector<std::string>()> duties_held;
  std::function<std::optional<core::UsageProgress>()> usage_progress;
};

// Returns why the load balancer should send no callers here, or "" if it may.
std::string ReasonNotReady(const OperatorPageSources& sources);

// Returns the handlers of the operator pages by path.
std::map<std::string, systems::OperatorServer::Handler> OperatorPages(
    const OperatorPageSources& sources);

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_STATE_DUMP_H_
