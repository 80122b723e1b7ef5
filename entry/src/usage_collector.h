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

// Collects the usage counters of the agents of this process's region, on a
// thread of its own, and tells the agents which window has begun. Safe to call
// from several threads.
class UsageCollector {
 public:
  explicit UsageCollector(const EntrySettings& settings);
  ~UsageCollector();

  UsageCollector(const UsageCollector&) = delete;
  UsageCollector& operator=(const UsageCollector&) = delete;

  // `followed` are those of the hosts that this process keeps links to; the
  // agents of others are read by Gather alone.
  void SetHosts(const std::vector<systems::Host>& hosts,
                const std::vector<systems::Host>& linked_hosts);

  // Notes that a window has begun: of the holder's progress, or told by a peer.
  // What agents name doesn't count, as one that stops goes ahead of the others.
  void NoteOpenWindow(int64_t window);

  // Reads every agent of the region, and what the other entry processes of the
  // region have collected of the windows from `first_window` on: they may have
  // read an agent that has ended since. Takes some seconds at the most; what it
  // leaves out comes with a later round.
  void CollectRegion(int64_t first_window);

  // Calls `reader` with the collection, which stays as it is meanwhile.
  void ReadCollection(
      const std::function<void(const core::UsageCollection&)>& reader) const;

  // The counters of the windows from `first_window` on, by agent.
  std::vector<wire::gen::UsageCounters> CountersSince(int64_t first_window) const;

 private:
  // One agent as it is read.
  struct Agent {
    explicit Agent(const std::string& address);

    wire::Channel<wire::gen::AgentClient> channel;
    base::BootId boot;
    // The highest window that this run of the agent has named; 0 before that.
    // Its counters may have grown since, those of earlier windows can't have.
    // A reading from here on tells the agent that the earlier ones are known.
    int64_t window = 0;
  };

  void Run();
  bool Sleep();
  bool IsStopping() const;
  // Reads no more agents after `until`.
  void ReadAgents(const std::vector<std::string>& addresses,
                  base::Instant until);
  // Makes a call, unless that process has just let one run into its timeout.
  void CallUnlessSkipped(const std::string& address,
           base::Milliseconds timeout,
           const std::function<void()>& call);
  // Returns false when another run of the agent has answered than was asked.
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

  // Held while agents and peers are called.
  std::mutex call_mutex;
  // By address.
  std::map<std::string, Agent> agents;
  // Those that were slow to answer, by address.
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
