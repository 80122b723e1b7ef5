#include "carawayvalve/core/watch_plan.h"

#include <algorithm>

#include "carawayvalve/core/duty.h"

namespace carawayvalve::core {

namespace {

constexpr char kFreshnessRanking[] = "proving";
// Number of hosts that poll the freshness of the configuration; one may be down
// and another cut off. They renew twice as often as a single host, as their
// messages to the other hosts take time as well.
constexpr size_t kFreshnessPollers = 3;
constexpr int64_t kPollerWaitDivisor = 2;
// The other hosts renew after this multiple of the base wait, in case a
// connection is dead without an error.
constexpr int64_t kNonPollerWaitFactor = 8;
// Hosts also forward changes of backend servers to each other, so changes
// arrive even if a host's own watch is dead. The wait therefore grows by one
// base wait for every three hosts, up to a limit.
constexpr int64_t kHostsPerBackendsFactor = 3;
constexpr int64_t kMaxBackendsFactor = 4;

}  // namespace

WatchWaits PlanWatches(const base::HostId& self,
                       const std::vector<base::HostId>& live,
                       base::Milliseconds base_wait) {
  const auto ranked = RankHolders(kFreshnessRanking, live);
  const auto rank = static_cast<size_t>(
      std::find(ranked.begin(), ranked.end(), self) - ranked.begin());
  const int64_t backends_factor = std::clamp<int64_t>(
      (static_cast<int64_t>(live.size()) - 1) / kHostsPerBackendsFactor, 1,
      kMaxBackendsFactor);
  if (live.size() <= kFreshnessPollers) {
    return {base_wait, base_wait * backends_factor};
  }
  return {rank < kFreshnessPollers ? base_wait / kPollerWaitDivisor
                                   : base_wait * kNonPollerWaitFactor,
          base_wait * backends_factor};
}

}  // namespace carawayvalve::core
