#ifndef CARAWAYVALVE_ENTRY_SRC_PEER_POLLER_H_
#define CARAWAYVALVE_ENTRY_SRC_PEER_POLLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/systems/host_list.h"
#include "carawayvalve_types.h"
#include "configuration_feed.h"
#include "traffic_control.h"

namespace carawayvalve::entry {

// One followed peer, for the state dump.
struct PeerSnapshot {
  base::HostId host;
  std::string address;
  bool reachable = false;
  wire::gen::PeerStatus status;
};

// Whether the peer says that this generation, or a later one, is in force
// there. One that isn't heard may run with an older one, or serve no more.
bool ConfirmsGeneration(const PeerSnapshot& peer, int64_t generation);

// Asks some of the other entry processes for their status once a second: how
// fresh their configuration is, and which contents crashed backend servers.
class PeerPoller {
 public:
  // `feed` and `control` must outlive the watch.
  PeerPoller(const EntrySettings& settings,
            ConfigurationFeed& feed,
            TrafficControl& control);
  ~PeerPoller();

  PeerPoller(const PeerPoller&) = delete;
  PeerPoller& operator=(const PeerPoller&) = delete;

  void SetHosts(const std::vector<systems::Host>& entry_hosts);
  std::vector<PeerSnapshot> Snapshots() const;
  // How many other live entry hosts aren't followed.
  size_t UnfollowedHostCount() const;
  // Whether a run of an entry process is known to have ended: every other live
  // entry host is followed and heard, and none of them is that run. A process
  // that was cut off and taken from the host list counts as ended.
  bool IsTerminated(const base::BootId& boot) const;

 private:
  // Follows one peer on a thread of its own, so that a silent one doesn't
  // delay the others.
  class PollThread;

  EntrySettings settings;
  ConfigurationFeed& feed;
  TrafficControl& control;
  mutable std::mutex mutex;
  std::map<base::HostId, std::unique_ptr<PollThread>> threads;
  size_t other_hosts = 0;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_PEER_POLLER_H_
