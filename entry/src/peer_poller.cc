#include "peer_poller.h"

#include <algorithm>
#include <condition_variable>
#include <set>
#include <thread>
#include <utility>

#include "EntryPeer.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/wire/channel.h"
#include "death_marks.h"

namespace carawayvalve::entry {

namespace {

constexpr size_t kMostPeers = 6;
constexpr base::Milliseconds kInterval{1000};
constexpr base::Milliseconds kTimeout{1000};

}  // namespace

bool ConfirmsGeneration(const PeerSnapshot& peer, int64_t generation) {
  return peer.heard && peer.status.generation >= generation;
}

class PeerPoller::Follower {
 public:
  Follower(PeerPoller& watch, const base::HostId& host, std::string address)
      : watch(watch), host(host), peer_address(std::move(address)) {
    this->thread = std::thread([this] { this->Run(); });
  }

  ~Follower() {
    this->Stop();
    this->thread.join();
  }

  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  void Stop() {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }

  const std::string& address() const { return this->peer_address; }

  PeerSnapshot Snapshot() const {
    const std::lock_guard lock(this->mutex);
    return {this->host, this->peer_address, this->heard, this->status};
  }

 private:
  void Run() {
    wire::Channel<wire::gen::EntryPeerClient> channel(this->peer_address,
                                                      kTimeout);
    do {
      this->Ask(channel);
    } while (this->Pause());
  }

  void Ask(wire::Channel<wire::gen::EntryPeerClient>& channel) {
    const base::Instant asked = base::Now();
    wire::gen::PeerStatus answer;
    try {
      channel.Invoke("peer status", [&](wire::gen::EntryPeerClient& client) {
        client.status(answer);
      });
    } catch (const base::Error&) {
      const std::lock_guard lock(this->mutex);
      this->heard = false;
      return;
    }
    std::optional<base::Duration> store_age;
    if (answer.store_age_ms >= 0) {
      store_age = base::Milliseconds(answer.store_age_ms);
    }
    this->watch.feed.NotePeerAnswer(this->host, asked, store_age, answer.generation);
    this->watch.control.MergeDeaths(FromWire(answer.deaths));
    const std::lock_guard lock(this->mutex);
    this->heard = true;
    this->status = answer;
  }

  bool Pause() {
    std::unique_lock lock(this->mutex);
    return !this->changed.wait_for(lock, kInterval,
                                   [&] { return this->stopping; });
  }

  PeerPoller& watch;
  base::HostId host;
  std::string peer_address;
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  bool heard = false;
  wire::gen::PeerStatus status;
  std::thread thread;
};

PeerPoller::PeerPoller(const EntrySettings& settings,
                     ConfigurationFeed& feed,
                     TrafficControl& control)
    : settings(settings), feed(feed), control(control) {}

PeerPoller::~PeerPoller() {
  this->SetHosts({});
}

void PeerPoller::SetHosts(const std::vector<systems::Host>& entry_hosts) {
  std::vector<core::EntryHost> hosts;
  std::map<base::HostId, std::string> addresses;
  for (const systems::Host& host : entry_hosts) {
    hosts.push_back({host.name, host.data_centre});
    addresses[host.name] = host.address;
  }
  const core::EntryHost self{this->settings.host, this->settings.data_centre};
  std::map<base::HostId, std::unique_ptr<Follower>> kept;
  std::map<base::HostId, std::unique_ptr<Follower>> dropped;
  const std::lock_guard lock(this->mutex);
  dropped.swap(this->followers);
  for (const base::HostId& peer : core::ChoosePeers(hosts, self, kMostPeers)) {
    const auto known = dropped.find(peer);
    if (known != dropped.end() &&
        known->second->address() == addresses.at(peer)) {
      kept[peer] = std::move(known->second);
      dropped.erase(known);
    } else {
      kept[peer] = std::make_unique<Follower>(*this, peer, addresses.at(peer));
    }
  }
  this->followers = std::move(kept);
  this->other_hosts =
      addresses.size() - (addresses.contains(this->settings.host) ? 1 : 0);
  this->control.SetProcesses(static_cast<int64_t>(this->other_hosts) + 1);
}

bool PeerPoller::IsTerminated(const base::BootId& boot) const {
  const std::vector<PeerSnapshot> snapshots = this->Snapshots();
  const std::lock_guard lock(this->mutex);
  return snapshots.size() == this->other_hosts &&
         std::all_of(snapshots.begin(), snapshots.end(), [&](const PeerSnapshot& snapshot) {
           return snapshot.heard && snapshot.status.boot != boot.value;
         });
}

size_t PeerPoller::UnfollowedHostCount() const {
  const std::lock_guard lock(this->mutex);
  return this->other_hosts - this->followers.size();
}

std::vector<PeerSnapshot> PeerPoller::Snapshots() const {
  const std::lock_guard lock(this->mutex);
  std::vector<PeerSnapshot> snapshots;
  for (const auto& [host, follower] : this->followers) {
    snapshots.push_back(follower->Snapshot());
  }
  return snapshots;
}

}  // namespace carawayvalve::entry
