#ifndef CARAWAYVALVE_CORE_WALL_CLOCK_ESTIMATOR_H_
#define CARAWAYVALVE_CORE_WALL_CLOCK_ESTIMATOR_H_

#include <map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Estimates the time since 1970 from the time of day of this host and its
// peers. A host's time of day may be stepped while the process runs, forward
// or back; the median of all hosts isn't moved by a few that are.
class WallClockEstimator {
 public:
  // Reads this host's time of day, given since 1970.
  void RecordOwnTime(base::Duration time_of_day, base::Instant now);
  // A peer's time of day was `time_of_day` about when `now` was read here.
  void RecordPeerTime(const base::HostId& peer,
                base::Duration time_of_day,
                base::Instant now);

  // Returns the estimate at `now`; before any reading, zero.
  base::Duration At(base::Instant now) const;

 private:
  // Time of day less the reading of HostClock; the median of these is what At
  // adds to `now`.
  struct Offset {
    base::Duration offset{};
    base::Instant updated;
  };

  std::map<base::HostId, Offset> peers;
  base::Duration own_offset{};
  bool has_own_offset = false;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_WALL_CLOCK_ESTIMATOR_H_
