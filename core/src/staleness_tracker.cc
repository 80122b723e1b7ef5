#include "carawayvalve/core/staleness_tracker.h"

#include <algorithm>

#include "carawayvalve/core/relay.h"

namespace carawayvalve::core {

void StalenessTracker::NoteStoreAnswer(base::Instant asked) {
  this->store_heard = std::max(this->store_heard.value_or(asked), asked);
}

void StalenessTracker::NotePeerAnswer(const base::HostId& peer,
                         base::Instant asked,
                         std::optional<base::Duration> store_age,
                         int64_t generation) {
  Peer& present = this->peers[peer];
  if (asked < present.heard) {
    return;  // overtaken by a later answer
  }
  present.heard = asked;
  present.generation = generation;
  present.store_heard.reset();
  if (store_age) {
    present.store_heard = asked - *store_age;
  }
}

FreshnessState StalenessTracker::Evaluate(base::Instant now,
                            base::Duration limit,
                            const std::vector<base::HostId>& peers,
                            int64_t generation) const {
  const auto recent = [&](base::Instant at) { return now - at <= limit; };
  const std::optional<base::Instant> fresh = this->ConfirmedAt(generation);
  if (fresh && recent(*fresh)) {
    return FreshnessState::kFresh;
  }
  size_t silent_store = 0;
  for (const base::HostId& name : peers) {
    const auto found = this->peers.find(name);
    if (found == this->peers.end() || !recent(found->second.heard)) {
      continue;
    }
    const Peer& peer = found->second;
    if (peer.store_heard && recent(*peer.store_heard)) {
      // The store can be reached, so there may be a withdrawal to be heard of.
      return FreshnessState::kCutOff;
    }
    silent_store += 1;
  }
  return IsMajority(silent_store, peers.size()) ? FreshnessState::kPlatformOutage
                                            : FreshnessState::kCutOff;
}

std::optional<base::Instant> StalenessTracker::ConfirmedAt(int64_t generation) const {
  std::optional<base::Instant> latest = this->store_heard;
  for (const auto& [name, peer] : this->peers) {
    if (peer.store_heard && peer.generation <= generation) {
      latest = std::max(latest.value_or(*peer.store_heard), *peer.store_heard);
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
