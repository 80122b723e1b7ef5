#ifndef CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_FEED_H_
#define CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_FEED_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "carawayvalve/base/log.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/configuration_relay.h"
#include "carawayvalve/core/staleness_tracker.h"
#include "carawayvalve/entry/configuration_store.h"
#include "carawayvalve/entry/settings.h"
#include "carawayvalve/systems/host_list.h"

namespace carawayvalve::entry {

// Keeps the configuration of this process up to date. Two processes of a data
// centre watch the store, the others follow those two; a process whose source
// fails tries the next one, and finally the store itself. Safe to call from
// several threads.
class ConfigurationFeed {
 public:
  using ConfigurationPtr = std::shared_ptr<const config::Configuration>;
  using Listener = std::function<void(ConfigurationPtr)>;

  // The answer to a reader of the configuration, such as a peer.
  struct Copy {
    // Null until a first configuration has been read.
    ConfigurationPtr current;
    // The configuration of the generation that the reader has; null if it is no
    // longer kept.
    ConfigurationPtr reader_configuration;
    // Time since the store was last confirmed to have nothing newer; nothing
    // before the first confirmation.
    std::optional<base::Duration> store_age;
  };

  explicit ConfigurationFeed(const EntrySettings& settings);
  ~ConfigurationFeed();

  ConfigurationFeed(const ConfigurationFeed&) = delete;
  ConfigurationFeed& operator=(const ConfigurationFeed&) = delete;

  // Starts to follow the configuration on a separate thread, which calls
  // `listener` with each new one.
  void Start(Listener listener);
  // Ends the thread; the listener is not called after the return.
  void Stop();

  // Sets the live entry hosts, this one included.
  void SetHosts(const std::vector<systems::Host>& entry_hosts);
  // Records the answer of a peer to a request that was sent at `sent_at`.
  void NotePeerAnswer(const base::HostId& peer,
                      base::Instant sent_at,
                      std::optional<base::Duration> store_age,
                      int64_t generation);

  // Waits up to `wait` for a generation above `known_generation`, and returns
  // the configuration in force in either case.
  Copy WaitForNewer(int64_t known_generation, base::Milliseconds wait);

  // Freshness returns whether the keys are fresh enough to be relied on;
  // IsStartedUp whether the process has read enough to serve.
  core::FreshnessState Freshness() const;
  bool IsStartedUp() const;
  // Returns the peer that this process follows; empty while it follows the
  // store itself.
  base::HostId source() const;

 private:
  struct Source {
    base::HostId host;
    std::string address;
  };

  void Run();
  // Returns whether this process is one of those that watch the store.
  bool IsWatcher() const;
  // Returns the peers that this process can follow, the preferred ones first.
  std::vector<Source> Sources() const;
  // Each returns false if the source should be replaced: it did not answer, or
  // a peer's copy is too old.
  bool FollowStore();
  bool FollowPeer(const Source& source);
  bool FollowAnyPeer();
  void Apply(const config::Configuration& configuration);
  int64_t ActiveGeneration() const;
  // These require `mutex` to be held.
  std::vector<base::HostId> PeerIds() const;
  ConfigurationPtr FindRecent(int64_t generation) const;

  EntrySettings settings;
  systems::ObjectApi object_api;
  ConfigurationStore store;
  Listener listener;
  base::Log log;
  mutable std::mutex mutex;
  std::condition_variable changed;
  core::CurrentConfiguration active;
  core::StalenessTracker staleness;
  core::StartupCheck startup;
  // The most recent configurations, oldest first; the last one is in force.
  std::deque<ConfigurationPtr> recent;
  std::vector<core::EntryHost> hosts;
  std::map<base::HostId, std::string> addresses;
  base::HostId current_source;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_FEED_H_
