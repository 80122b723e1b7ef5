#include "carawayvalve/core/watch_plan.h"

#include <algorithm>

#include "carawayvalve/core/duty.h"

namespace carawayvalve::core {

namespace {

constexpr char kProving[] = "proving";
// Hosts that prove how fresh the configuration is; one may be down and another
// cut off. They renew twice as often as a lone host, as their word to the
// others takes time as well.
constexpr size_t kProvers = 3;
constexpr int64_t kProversPart = 2;
// The others renew theirs after so many times the shortest wait, for the case
// that a connection has fallen silent.
constexpr int64_t kOthersWait = 8;
// Hosts tell one another of backend servers that a watch should have heard of,
// so that each further three let all wait once more, up to a limit.
constexpr int64_t kHostsPerWait = 3;
constexpr int64_t kMostWaits = 4;

}  // namespace

WatchWaits PlanWatches(const base::HostId& self,
                       const std::vector<base::HostId>& live,
                       base::Milliseconds shortest) {
  const auto ranked = RankHolders(kProving, live);
  const auto rank = static_cast<size_t>(
      std::find(ranked.begin(), ranked.end(), self) - ranked.begin());
  const int64_t times = std::clamp<int64_t>(
      (static_cast<int64_t>(live.size()) - 1) / kHostsPerWait, 1, kMostWaits);
  if (live.size() <= kProvers) {
    return {shortest, shortest * times};
  }
  return {rank < kProvers ? shortest / kProversPart : shortest * kOthersWait,
          shortest * times};
}

}  // namespace carawayvalve::core
