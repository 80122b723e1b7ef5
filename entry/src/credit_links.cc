#include "credit_links.h"

#include <utility>

#include "EntryPeer.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/wire/channel.h"
#include "credit_format.h"

namespace carawayvalve::entry {

namespace {

constexpr base::Milliseconds kCallTimeout{300};
// A peer whose call failed isn't probed again for this time.
constexpr base::Milliseconds kProbeInterval{1000};
// An older reading of a peer's clock is replaced before it is used.
constexpr base::Milliseconds kMaxClockAge{10000};

}  // namespace

struct CreditLinks::Batch {
  std::vector<core::CreditQuestion> questions;
  std::vector<core::CreditGrant> grants;
  bool probe = false;

  bool empty() const {
    return !this->probe && this->questions.empty() && this->grants.empty();
  }
};

struct CreditLinks::Peer {
  Peer(base::HostId host, const std::string& address)
      : host(std::move(host)), channel(address, kCallTimeout) {}

  const base::HostId host;
  // Used by the one thread that is calling the peer.
  wire::Channel<wire::gen::EntryPeerClient> channel;
  // The run of the peer that answered last, and its clock at `answered`.
  std::string boot;
  base::Instant clock;
  std::optional<base::Instant> answered;

  // Guarded by the links' mutex.
  Batch next;
  bool calling = false;
  std::optional<base::Instant> failed;
};

CreditLinks::~CreditLinks() {
  this->Stop();
}

void CreditLinks::Stop() {
  const std::lock_guard lock(this->mutex);
  this->stopping = true;
}

void CreditLinks::SetPeers(
    const std::map<base::HostId, std::string>& addresses) {
  std::map<base::HostId, std::shared_ptr<Peer>> changed;
  const std::lock_guard lock(this->mutex);
  for (const auto& [host, address] : addresses) {
    const auto found = this->peers.find(host);
    changed[host] = found != this->peers.end() &&
                            found->second->channel.address() == address
                        ? found->second
                        : std::make_shared<Peer>(host, address);
  }
  this->peers = std::move(changed);
}

std::shared_ptr<CreditLinks::Peer> CreditLinks::Find(
    const base::HostId& host) const {
  const auto found = this->peers.find(host);
  return found == this->peers.end() ? nullptr : found->second;
}

void CreditLinks::Ask(const base::HostId& host,
                      const core::CreditQuestion& question) {
  const std::lock_guard lock(this->mutex);
  if (const auto peer = this->Find(host)) {
    peer->next.questions.push_back(question);
    this->Wake(peer);
  }
}

void CreditLinks::Give(const base::HostId& host,
                       const core::CreditGrant& grant) {
  const std::lock_guard lock(this->mutex);
  if (const auto peer = this->Find(host)) {
    peer->next.grants.push_back(grant);
    this->Wake(peer);
  }
}

void CreditLinks::Probe(const base::HostId& host) {
  const std::lock_guard lock(this->mutex);
  const auto peer = this->Find(host);
  if (peer == nullptr || peer->calling ||
      (peer->failed.has_value() &&
       base::Now() - *peer->failed < kProbeInterval)) {
    return;
  }
  peer->next.probe = true;
  this->Wake(peer);
}

std::set<base::HostId> CreditLinks::Silent() const {
  std::set<base::HostId> silent;
  const std::lock_guard lock(this->mutex);
  for (const auto& [host, peer] : this->peers) {
    if (peer->failed.has_value()) {
      silent.insert(host);
    }
  }
  return silent;
}

void CreditLinks::Wake(const std::shared_ptr<Peer>& peer) {
  if (!peer->calling && !this->stopping) {
    peer->calling = true;
    this->pool.Post([this, peer] { this->Run(peer); });
  }
}

void CreditLinks::Run(const std::shared_ptr<Peer>& peer) {
  while (true) {
    Batch batch;
    {
      const std::lock_guard lock(this->mutex);
      std::swap(batch, peer->next);
      if (batch.empty() || this->stopping) {
        peer->calling = false;
        return;
      }
    }
    const bool knows_clock = peer->answered.has_value() &&
                             base::Now() - *peer->answered < kMaxClockAge;
    const bool answered =
        (batch.grants.empty() || knows_clock || this->Call(*peer, Batch())) &&
        this->Call(*peer, batch);
    const std::lock_guard lock(this->mutex);
    peer->failed =
        answered ? std::nullopt : std::optional<base::Instant>(base::Now());
  }
}

bool CreditLinks::Call(Peer& peer, const Batch& batch) {
  const base::Instant sent_at = base::Now();
  wire::gen::CreditMessage message;
  message.host = this->self.value;
  message.boot = this->boot.value;
  for (const core::CreditQuestion& question : batch.questions) {
    message.questions.push_back(ToWire(question));
  }
  for (const core::CreditGrant& grant : batch.grants) {
    message.grants.push_back(ToWire(grant, sent_at));
  }
  if (peer.answered.has_value()) {
    message.receiver_boot = peer.boot;
    message.receiver_clock_us =
        ToClockUs(peer.clock + (sent_at - *peer.answered));
  }
  wire::gen::CreditAnswer answer;
  try {
    peer.channel.Invoke("exchange credit",
                        [&](wire::gen::EntryPeerClient& client) {
                          client.exchange_credit(answer, message);
                        });
  } catch (const base::Error&) {
    return false;
  }
  peer.answered = base::Now();
  peer.boot = answer.boot;
  peer.clock = FromClockUs(answer.clock_us);
  this->events.on_counted(peer.host);
  std::vector<core::CreditGrant> grants;
  for (const wire::gen::CreditGrant& grant : answer.grants) {
    grants.push_back(FromWire(grant, sent_at));
  }
  this->events.on_grants(answer.boot, grants);
  return true;
}

}  // namespace carawayvalve::entry
