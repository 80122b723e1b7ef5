#ifndef CARAWAYVALVE_ENTRY_SRC_STATE_DUMP_H_
#define CARAWAYVALVE_ENTRY_SRC_STATE_DUMP_H_

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/usage_objects.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/systems/operator_server.h"
#include "configuration_feed.h"
#include "dispatcher.h"
#include "entry_metrics.h"
#include "gatekeeper.h"
#include "peer_poller.h"

namespace carawayvalve::entry {

// What the operator pages show. All of it must outlive them.
struct EntryParts {
  const EntrySettings& settings;
  const base::BootId& boot;
  const ConfigurationFeed& feed;
  const PeerPoller& peers;
  const Gatekeeper& gatekeeper;
  Dispatcher& dispatcher;
  EntryMetrics& metrics;
  const std::atomic<bool>& leaving;
  std::function<std::vector<std::string>()> duties_held;
  std::function<std::optional<core::UsageProgress>()> usage_progress;
};

// Whether the balancer should send callers here, and why not.
std::string ReasonNotReady(const EntryParts& parts);

std::map<std::string, systems::OperatorServer::Handler> OperatorPages(
    const EntryParts& parts);

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_STATE_DUMP_H_
