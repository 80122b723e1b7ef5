#ifndef CARAWAYVALVE_CORE_WALL_CLOCK_ESTIMATOR_H_
#define CARAWAYVALVE_CORE_WALL_CLOCK_ESTIMATOR_H_

#include <map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Estimates the wall-clock time since 1970 as the median over this host and its
// peers, as a host's wall clock may be stepped forward or back while the
// process runs. Steps on a minority of hosts don't move the median.
class WallClockEstimator {
 public:
  // Records this host's wall-clock time, given since 1970. A reading that shows
  // a step is ignored.
  void RecordOwnTime(base::Duration time_of_day, base::Instant now);
  // Records that a peer's wall-clock time was `time_of_day` at about `now`.
  void RecordPeerTime(const base::HostId& peer,
                      base::Duration time_of_day,
                      base::Instant now);

  // Returns the estimated time since 1970 at `now`, and that of HostClock while
  // nothing has been recorded.
  base::Duration At(base::Instant now) const;

 private:
  // Wall-clock time minus the reading of HostClock. At adds the median of the
  // offsets to `now`.
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
