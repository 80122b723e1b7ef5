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
#include "crash_reporter.h"
#include "traffic_control.h"

namespace carawayvalve::entry {

// The last answer of one polled peer, for the state dump.
struct PeerSnapshot {
  base::HostId host;
  std::string address;
  bool reachable = false;
  wire::gen::PeerStatus status;
};

// Returns whether the peer's last answer says that `generation` or a later one
// is in force there. False for an unreachable peer: it may run with an older
// one, or have stopped serving.
bool ConfirmsGeneration(const PeerSnapshot& peer, int64_t generation);

// Polls some of the other entry processes once a second for their status: the
// age of their configuration and the contents that crashed backend servers.
// Tells them of crashes that this process has learnt of at once.
class PeerPoller {
 public:
  // `feed`, `control` and `crash_reporter` must outlive the poller.
  PeerPoller(const EntrySettings& settings,
             ConfigurationFeed& feed,
             TrafficControl& control,
             CrashReporter& crash_reporter);
  ~PeerPoller();

  PeerPoller(const PeerPoller&) = delete;
  PeerPoller& operator=(const PeerPoller&) = delete;

  void SetHosts(const std::vector<systems::Host>& entry_hosts);
  std::vector<PeerSnapshot> Snapshots() const;
  // Returns the number of other live entry hosts that aren't polled.
  size_t UnfollowedHostCount() const;
  // Returns whether the entry process with this boot id is known to have
  // terminated: every other live entry host is polled and reachable, and none
  // of them has that boot id. A process that was partitioned off and removed
  // from the host list counts as terminated.
  bool IsTerminated(const base::BootId& boot) const;

 private:
  // Polls one peer on a separate thread, so that an unresponsive peer doesn't
  // delay the polling of others.
  class PollThread;

  // Has all peers told of new crashes.
  void SendReports();

  EntrySettings settings;
  ConfigurationFeed& feed;
  TrafficControl& control;
  CrashReporter& crash_reporter;
  mutable std::mutex mutex;
  std::map<base::HostId, std::unique_ptr<PollThread>> threads;
  size_t other_hosts = 0;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_PEER_POLLER_H_
