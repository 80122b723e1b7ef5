#include "peer_poller.h"

#include <algorithm>
#include <condition_variable>
#include <set>
#include <thread>
#include <utility>

#include "EntryPeer.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/wire/channel.h"
#include "crash_records.h"

namespace carawayvalve::entry {

namespace {

constexpr size_t kMaxPeers = 6;
constexpr base::Milliseconds kPollInterval{1000};
constexpr base::Milliseconds kCallTimeout{1000};

}  // namespace

bool ConfirmsGeneration(const PeerSnapshot& peer, int64_t generation) {
  return peer.reachable && peer.status.generation >= generation;
}

class PeerPoller::PollThread {
 public:
  PollThread(PeerPoller& poller, const base::HostId& host, std::string address)
      : poller(poller), host(host), peer_address(std::move(address)) {
    this->thread = std::thread([this] { this->Run(); });
  }

  ~PollThread() {
    this->Stop();
    this->thread.join();
  }

  PollThread(const PollThread&) = delete;
  PollThread& operator=(const PollThread&) = delete;

  void Stop() {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }

  // Has the peer told of new crashes.
  void SendReports() {
    const std::lock_guard lock(this->mutex);
    this->reports_pending = true;
    this->changed.notify_all();
  }

  const std::string& address() const { return this->peer_address; }

  PeerSnapshot Snapshot() const {
    const std::lock_guard lock(this->mutex);
    return {this->host, this->peer_address, this->reachable, this->status};
  }

 private:
  void Run() {
    wire::Channel<wire::gen::EntryPeerClient> channel(this->peer_address,
                                                      kCallTimeout);
    do {
      this->Poll(channel);
      this->Report(channel);
    } while (this->Sleep(channel));
    this->poller.crash_reporter.NoteReachable(this->host, false);
  }

  void Poll(wire::Channel<wire::gen::EntryPeerClient>& channel) {
    const base::Instant sent_at = base::Now();
    wire::gen::PeerStatus answer;
    try {
      channel.Invoke("peer status", [&](wire::gen::EntryPeerClient& client) {
        client.status(answer);
      });
    } catch (const base::Error&) {
      this->poller.crash_reporter.NoteReachable(this->host, false);
      const std::lock_guard lock(this->mutex);
      this->reachable = false;
      return;
    }
    this->poller.crash_reporter.NoteReachable(this->host, true);
    std::optional<base::Duration> store_age;
    if (answer.store_age_ms >= 0) {
      store_age = base::Milliseconds(answer.store_age_ms);
    }
    this->poller.feed.NotePeerAnswer(this->host, sent_at, store_age,
                                     answer.generation);
    this->poller.control.MergeCrashRecords(FromWire(answer.deaths));
    this->poller.control.MergeServedParts(FromWire(answer.served_parts));
    const std::lock_guard lock(this->mutex);
    this->reachable = true;
    this->status = answer;
  }

  // Sends the reports that the peer lacks.
  void Report(wire::Channel<wire::gen::EntryPeerClient>& channel) {
    {
      const std::lock_guard lock(this->mutex);
      this->reports_pending = false;
    }
    const auto batch = this->poller.crash_reporter.Unacknowledged(this->host);
    if (batch.records.empty()) {
      return;
    }
    try {
      channel.Invoke("report deaths", [&](wire::gen::EntryPeerClient& client) {
        client.report_deaths(ToWire(batch.records));
      });
    } catch (const base::Error&) {
      this->poller.crash_reporter.NoteReachable(this->host, false);
      return;
    }
    this->poller.crash_reporter.NoteAcknowledged(this->host, batch.newest);
  }

  // Waits until the next poll is due, and sends reports meanwhile. Returns
  // false if the thread is to stop.
  bool Sleep(wire::Channel<wire::gen::EntryPeerClient>& channel) {
    const base::Instant until = base::Now() + kPollInterval;
    std::unique_lock lock(this->mutex);
    while (this->changed.wait_until(
        lock, until, [&] { return this->stopping || this->reports_pending; })) {
      if (this->stopping) {
        return false;
      }
      lock.unlock();
      this->Report(channel);
      lock.lock();
    }
    return true;
  }

  PeerPoller& poller;
  base::HostId host;
  std::string peer_address;
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  bool reports_pending = false;
  bool reachable = false;
  wire::gen::PeerStatus status;
  std::thread thread;
};

PeerPoller::PeerPoller(const EntrySettings& settings,
                       ConfigurationFeed& feed,
                       TrafficControl& control,
                       CrashReporter& crash_reporter)
    : settings(settings),
      feed(feed),
      control(control),
      crash_reporter(crash_reporter) {
  this->crash_reporter.SetOnReport([this] { this->SendReports(); });
}

PeerPoller::~PeerPoller() {
  this->crash_reporter.SetOnReport(nullptr);
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
  std::map<base::HostId, std::unique_ptr<PollThread>> kept;
  std::map<base::HostId, std::unique_ptr<PollThread>> dropped;
  const std::lock_guard lock(this->mutex);
  dropped.swap(this->threads);
  for (const base::HostId& peer : core::ChoosePeers(hosts, self, kMaxPeers)) {
    const auto existing = dropped.find(peer);
    if (existing != dropped.end() &&
        existing->second->address() == addresses.at(peer)) {
      kept[peer] = std::move(existing->second);
      dropped.erase(existing);
    } else {
      kept[peer] =
          std::make_unique<PollThread>(*this, peer, addresses.at(peer));
    }
  }
  this->threads = std::move(kept);
  this->other_hosts =
      addresses.size() - (addresses.contains(this->settings.host) ? 1 : 0);
  this->control.SetProcessCount(static_cast<int64_t>(this->other_hosts) + 1);
}

bool PeerPoller::IsTerminated(const base::BootId& boot) const {
  const std::vector<PeerSnapshot> snapshots = this->Snapshots();
  const std::lock_guard lock(this->mutex);
  return snapshots.size() == this->other_hosts &&
         std::all_of(snapshots.begin(), snapshots.end(),
                     [&](const PeerSnapshot& snapshot) {
                       return snapshot.reachable &&
                              snapshot.status.boot != boot.value;
                     });
}

void PeerPoller::SendReports() {
  const std::lock_guard lock(this->mutex);
  for (const auto& [host, poll_thread] : this->threads) {
    poll_thread->SendReports();
  }
}

size_t PeerPoller::UnfollowedHostCount() const {
  const std::lock_guard lock(this->mutex);
  return this->other_hosts - this->threads.size();
}

std::vector<PeerSnapshot> PeerPoller::Snapshots() const {
  const std::lock_guard lock(this->mutex);
  std::vector<PeerSnapshot> snapshots;
  for (const auto& [host, poll_thread] : this->threads) {
    snapshots.push_back(poll_thread->Snapshot());
  }
  return snapshots;
}

}  // namespace carawayvalve::entry
