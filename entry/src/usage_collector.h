#ifndef CARAWAYVALVE_ENTRY_SRC_USAGE_COLLECTOR_H_
#define CARAWAYVALVE_ENTRY_SRC_USAGE_COLLECTOR_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Agent.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/usage_ledger.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/systems/host_list.h"
#include "carawayvalve/wire/channel.h"
#include "carawayvalve_types.h"

namespace carawayvalve::entry {

// Collects the usage counters of the agents in this process's region, on a
// separate thread, and tells the agents which window is open. Safe to call from
// several threads.
class UsageCollector {
 public:
  explicit UsageCollector(const EntrySettings& settings);
  ~UsageCollector();

  UsageCollector(const UsageCollector&) = delete;
  UsageCollector& operator=(const UsageCollector&) = delete;

  // `linked_hosts` are the hosts whose agents this process keeps links to; the
  // agents of other hosts are read by CollectRegion only.
  void SetHosts(const std::vector<systems::Host>& hosts,
                const std::vector<systems::Host>& linked_hosts);

  // Records that a window is open, as seen in the duty holder's progress or
  // told by a peer. Windows that agents name are ignored here, since an agent
  // that stops advances its window ahead of the others.
  void NoteOpenWindow(int64_t window);

  // Reads every agent of the region, and the counters of the windows from
  // `first_window` on that other entry processes of the region have collected:
  // they may have read an agent that has ended since. Takes a few seconds at
  // most; what doesn't fit into that time is read in a later round.
  void CollectRegion(int64_t first_window);

  // Calls `reader` with the collection, under the lock: the collection doesn't
  // change during the call.
  void ReadCollection(
      const std::function<void(const core::UsageCollection&)>& reader) const;

  // Returns the counters of the windows from `first_window` on, grouped by
  // agent.
  std::vector<wire::gen::UsageCounters> CountersSince(
      int64_t first_window) const;

 private:
  // The connection to one agent and how far it has been read.
  struct Agent {
    explicit Agent(const std::string& address);

    wire::Channel<wire::gen::AgentClient> channel;
    base::BootId boot;
    // The highest window that this run of the agent has named; 0 before that.
    // The counters of this window may have grown since, those of earlier
    // windows can't have. A read from this window on acknowledges the earlier
    // ones to the agent.
    int64_t window = 0;
  };

  void Run();
  bool Sleep();
  bool IsStopping() const;
  // Starts no read after `until`.
  void ReadAgents(const std::vector<std::string>& addresses,
                  base::Instant until);
  // Makes a call, unless a call to that process has just timed out.
  void CallUnlessSkipped(const std::string& address,
                         base::Milliseconds timeout,
                         const std::function<void()>& call);
  // Returns false if the agent has restarted since the last read, and the
  // answer may therefore be incomplete.
  bool ReadOnce(Agent& agent);
  void ReadPeers(const std::vector<std::string>& addresses,
                 int64_t first_window,
                 base::Instant until);
  void ReadPeer(const std::string& address, int64_t first_window);
  void Merge(const std::vector<wire::gen::UsageCounters>& answers);
  int64_t OpenWindow() const;

  base::RegionId region;
  base::HostId self;
  base::Milliseconds interval;

  // Held during calls to agents and peers.
  std::mutex call_mutex;
  // By address.
  std::map<std::string, Agent> agents;
  // Processes that were slow to answer, by address.
  std::map<std::string, base::Instant> skipped_until;

  // Never held during a call.
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  int64_t open_window = 0;
  core::UsageCollection collection;
  std::vector<std::string> linked_agents;
  std::vector<std::string> region_agents;
  std::vector<std::string> region_peers;

  std::thread thread;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_USAGE_COLLECTOR_H_
