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

// Keeps the configuration in force at this process. Two processes of a data
// centre follow the store, the others follow those; a process whose source
// fails asks the next one, and in the end the store itself.
class ConfigurationFeed {
 public:
  using ConfigurationPtr = std::shared_ptr<const config::Configuration>;
  using Listener = std::function<void(ConfigurationPtr)>;

  // What a reader of the configuration gets.
  struct Copy {
    // Nothing until a first configuration was read.
    ConfigurationPtr current;
    // The configuration that the reader has, if it is still remembered.
    ConfigurationPtr reader_configuration;
    // How long ago the store had certainly nothing newer.
    std::optional<base::Duration> store_age;
  };

  explicit ConfigurationFeed(const EntrySettings& settings);
  ~ConfigurationFeed();

  ConfigurationFeed(const ConfigurationFeed&) = delete;
  ConfigurationFeed& operator=(const ConfigurationFeed&) = delete;

  // Follows the configuration on a thread of its own from here on; `listener`
  // is called there with each new one.
  void Start(Listener listener);
  // Waits until the listener won't be called any more.
  void Stop();

  // The present entry hosts, this one included.
  void SetHosts(const std::vector<systems::Host>& entry_hosts);
  // A peer has answered a question that was sent at `asked`.
  void NotePeerAnswer(const base::HostId& peer,
                base::Instant sent_at,
                std::optional<base::Duration> store_age,
                int64_t generation);

  // Waits until there is a newer generation than the known one.
  Copy WaitForNewer(int64_t known_generation, base::Milliseconds wait);

  // Whether the keys may be trusted, and whether the process knows enough to
  // serve at all.
  core::FreshnessState Freshness() const;
  bool IsStartedUp() const;
  // Empty while this process follows the store itself.
  base::HostId source() const;

 private:
  struct Source {
    base::HostId host;
    std::string address;
  };

  void Run();
  // Whether this process is one of those that follow the store.
  bool IsWatcher() const;
  // Returns the peers that can be followed, the best first.
  std::vector<Source> Sources() const;
  // Each returns false when there was no answer.
  bool FollowStore();
  bool FollowPeer(const Source& source);
  bool FollowAnyPeer();
  void Apply(const config::Configuration& configuration);
  int64_t ActiveGeneration() const;
  // These expect the lock to be held.
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
  // The newest last; the one in force is the last.
  std::deque<ConfigurationPtr> recent;
  std::vector<core::EntryHost> hosts;
  std::map<base::HostId, std::string> addresses;
  base::HostId current_source;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CONFIGURATION_FEED_H_
