#include "carawayvalve/core/wall_clock_estimator.h"

#include <algorithm>
#include <vector>

namespace carawayvalve::core {

namespace {

// Offsets of peers that are older are left out of the median.
constexpr std::chrono::seconds kPeerOffsetTtl(10);
// Smaller changes of the own offset are slewing and are followed. Larger ones
// are steps, as clocks are stepped by seconds.
constexpr base::Milliseconds kMaxSlew(200);

}  // namespace

void WallClockEstimator::RecordOwnTime(base::Duration time_of_day,
                                       base::Instant now) {
  const base::Duration offset = time_of_day - now.time_since_epoch();
  if (!this->has_own_offset ||
      std::chrono::abs(offset - this->own_offset) < kMaxSlew) {
    this->own_offset = offset;
    this->has_own_offset = true;
  }
}

void WallClockEstimator::RecordPeerTime(const base::HostId& peer,
                                        base::Duration time_of_day,
                                        base::Instant now) {
  this->peers[peer] = {time_of_day - now.time_since_epoch(), now};
}

base::Duration WallClockEstimator::At(base::Instant now) const {
  std::vector<base::Duration> offsets = {this->own_offset};
  for (const auto& [peer, offset] : this->peers) {
    if (now - offset.updated < kPeerOffsetTtl) {
      offsets.push_back(offset.offset);
    }
  }
  // Two offsets have no majority, so the own one is used.
  if (offsets.size() < 3) {
    return now.time_since_epoch() + this->own_offset;
  }
  const auto middle =
      offsets.begin() + static_cast<int64_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return now.time_since_epoch() + *middle;
}

}  // namespace carawayvalve::core
