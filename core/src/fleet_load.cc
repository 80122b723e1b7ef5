#include "carawayvalve/core/fleet_load.h"

#include <algorithm>
#include <cstdlib>

namespace carawayvalve::core {

namespace {

// Prefilled in about five milliseconds, less than the time that a report takes
// to reach a peer.
constexpr int64_t kNegligiblePrefillTokens = 256;

// Reports that are older are ignored: most of the requests in them have ended.
constexpr std::chrono::seconds kPeerLoadTtl(2);

bool AffectsPlacement(const BackendLoad& announced,
                      const BackendLoad& current) {
  const bool plain_service = announced.kv_tokens == 0 && current.kv_tokens == 0;
  return std::abs(announced.unread_tokens - current.unread_tokens) >
             kNegligiblePrefillTokens ||
         (plain_service && announced.requests != current.requests);
}

// Returns whether any of `loads` differs from its entry in `others` by enough
// to affect placement.
bool AnyAffectsPlacement(const FleetLoad::Loads& loads,
                         const FleetLoad::Loads& others) {
  return std::any_of(loads.begin(), loads.end(), [&](const auto& load) {
    const auto other = others.find(load.first);
    return AffectsPlacement(
        load.second, other == others.end() ? BackendLoad{} : other->second);
  });
}

}  // namespace

bool AffectsPlacement(const FleetLoad::Loads& announced,
                      const FleetLoad::Loads& current) {
  return AnyAffectsPlacement(announced, current) ||
         AnyAffectsPlacement(current, announced);
}

BackendLoad operator+(const BackendLoad& a, const BackendLoad& b) {
  return {a.requests + b.requests, a.unread_tokens + b.unread_tokens,
          a.kv_tokens + b.kv_tokens};
}

FleetLoad::Ticket FleetLoad::NoteSent(const base::BackendServerId& id,
                                      const BackendLoad& work) {
  const Ticket ticket = ++this->last_ticket;
  this->sent[ticket] = {id, work};
  BackendLoad& load = this->own_loads[id];
  load = load + work;
  return ticket;
}

void FleetLoad::NotePrefilled(Ticket ticket) {
  const auto found = this->sent.find(ticket);
  if (found == this->sent.end()) {
    return;
  }
  this->own_loads[found->second.id].unread_tokens -=
      found->second.work.unread_tokens;
  found->second.work.unread_tokens = 0;
}

void FleetLoad::NoteEnded(Ticket ticket) {
  const auto found = this->sent.find(ticket);
  if (found == this->sent.end()) {
    return;
  }
  const SentRequest& ended = found->second;
  const auto load = this->own_loads.find(ended.id);
  load->second.requests -= ended.work.requests;
  load->second.unread_tokens -= ended.work.unread_tokens;
  load->second.kv_tokens -= ended.work.kv_tokens;
  if (load->second == BackendLoad{}) {
    this->own_loads.erase(load);
  }
  this->sent.erase(found);
}

void FleetLoad::NotePeer(const base::HostId& peer,
                         const Loads& loads,
                         base::Instant now) {
  this->peers[peer] = {loads, now};
}

int64_t FleetLoad::OwnRequests(const base::BackendServerId& id) const {
  const auto own = this->own_loads.find(id);
  return own == this->own_loads.end() ? 0 : own->second.requests;
}

base::Duration FleetLoad::ReportAge(base::Instant now) const {
  base::Duration sum{};
  int64_t count = 0;
  for (const auto& [host, peer] : this->peers) {
    const base::Duration age = now - peer.received;
    if (age <= kPeerLoadTtl && !peer.loads.empty()) {
      sum += age;
      ++count;
    }
  }
  return count == 0 ? sum : sum / count;
}

BackendLoad FleetLoad::LoadOf(const base::BackendServerId& id,
                              base::Instant now) const {
  BackendLoad sum;
  const auto own = this->own_loads.find(id);
  if (own != this->own_loads.end()) {
    sum = own->second;
  }
  for (const auto& [host, peer] : this->peers) {
    if (now - peer.received > kPeerLoadTtl) {
      continue;
    }
    const auto load = peer.loads.find(id);
    if (load != peer.loads.end()) {
      sum = sum + load->second;
    }
  }
  return sum;
}

}  // namespace carawayvalve::core
