#include "carawayvalve/core/staleness_tracker.h"

#include <algorithm>

#include "carawayvalve/core/configuration_relay.h"

namespace carawayvalve::core {

void StalenessTracker::NoteStoreAnswer(base::Instant sent_at) {
  this->store_confirmed_at =
      std::max(this->store_confirmed_at.value_or(sent_at), sent_at);
}

void StalenessTracker::NotePeerAnswer(const base::HostId& peer,
                                      base::Instant sent_at,
                                      std::optional<base::Duration> store_age,
                                      int64_t generation) {
  Peer& record = this->peers[peer];
  if (sent_at < record.answered_at) {
    return;  // A later request has already been answered.
  }
  record.answered_at = sent_at;
  record.generation = generation;
  record.store_confirmed_at.reset();
  if (store_age) {
    record.store_confirmed_at = sent_at - *store_age;
  }
}

FreshnessState StalenessTracker::Evaluate(
    base::Instant now,
    base::Duration limit,
    const std::vector<base::HostId>& peers,
    int64_t generation) const {
  const auto recent = [&](base::Instant at) { return now - at <= limit; };
  const std::optional<base::Instant> confirmed_at =
      this->ConfirmedAt(generation);
  if (confirmed_at && recent(*confirmed_at)) {
    return FreshnessState::kFresh;
  }
  size_t without_store = 0;
  for (const base::HostId& name : peers) {
    const auto found = this->peers.find(name);
    if (found == this->peers.end() || !recent(found->second.answered_at)) {
      continue;
    }
    const Peer& peer = found->second;
    if (peer.store_confirmed_at && recent(*peer.store_confirmed_at)) {
      // The peer reaches the store, which may hold a withdrawal unknown here.
      return FreshnessState::kCutOff;
    }
    without_store += 1;
  }
  return IsMajority(without_store, peers.size())
             ? FreshnessState::kPlatformOutage
             : FreshnessState::kCutOff;
}

std::optional<base::Instant> StalenessTracker::ConfirmedAt(
    int64_t generation) const {
  std::optional<base::Instant> latest = this->store_confirmed_at;
  for (const auto& [name, peer] : this->peers) {
    if (peer.store_confirmed_at && peer.generation <= generation) {
      latest = std::max(latest.value_or(*peer.store_confirmed_at),
                        *peer.store_confirmed_at);
    }
  }
  return latest;
}

void StalenessTracker::Retain(const std::vector<base::HostId>& peers) {
  std::erase_if(this->peers, [&](const auto& entry) {
    return std::find(peers.begin(), peers.end(), entry.first) == peers.end();
  });
}

}  // namespace carawayvalve::core
