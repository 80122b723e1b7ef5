#include "carawayvalve/core/watch_plan.h"

#include <algorithm>

#include "carawayvalve/core/duty.h"

namespace carawayvalve::core {

namespace {

constexpr char kFreshnessRanking[] = "proving";
// Up to this number of hosts each watches for itself.
constexpr size_t kFewHosts = 3;
// Beyond this number of hosts, messages between them take too long: they
// exchange their changes at an interval that grows with their number.
constexpr size_t kManyHosts = 48;
// The host that asks the store at this interval.
constexpr base::Milliseconds kPollInterval(600);
// Hosts that watch the store; one may be down and another cut off. They renew
// their watches after this multiple of the base wait, and ask for themselves
// when they hear nothing from the first one.
constexpr size_t kWatchers = 2;
constexpr int64_t kWatcherWaitFactor = 4;
constexpr base::Milliseconds kWatcherRenewAge(1100);
// The other hosts ask at this age or a little later. With the time of a call it
// is less than the two seconds after which a draining backend server must get
// no more requests.
constexpr base::Milliseconds kFollowerRenewAge(1200);
constexpr base::Milliseconds kFollowerRenewStep(5);
// With very many hosts, three poll the configuration's freshness, twice as
// often as a single host would. The others renew after a multiple of the base
// wait, in case a connection is dead without an error.
constexpr size_t kFreshnessPollers = 3;
constexpr int64_t kPollerWaitDivisor = 2;
constexpr int64_t kNonPollerWaitFactor = 8;
constexpr int64_t kBackendsFactor = 4;

WatchSchedule PlanFollowing(size_t rank, base::Milliseconds base_wait) {
  if (rank == 0) {
    return {std::nullopt, kPollInterval};
  }
  if (rank <= kWatchers) {
    return {base_wait * kWatcherWaitFactor, kWatcherRenewAge};
  }
  return {std::nullopt,
          kFollowerRenewAge + kFollowerRenewStep * static_cast<int64_t>(rank)};
}

}  // namespace

WatchWaits PlanWatches(const base::HostId& self,
                       const std::vector<base::HostId>& live,
                       base::Milliseconds base_wait) {
  if (live.size() <= kFewHosts) {
    return {{base_wait, std::nullopt}, {base_wait, std::nullopt}};
  }
  const auto ranked = RankHolders(kFreshnessRanking, live);
  const auto rank = static_cast<size_t>(
      std::find(ranked.begin(), ranked.end(), self) - ranked.begin());
  if (live.size() <= kManyHosts) {
    const WatchSchedule schedule = PlanFollowing(rank, base_wait);
    return {schedule, schedule};
  }
  return {{rank < kFreshnessPollers ? base_wait / kPollerWaitDivisor
                                    : base_wait * kNonPollerWaitFactor,
           std::nullopt},
          {base_wait * kBackendsFactor, std::nullopt}};
}

}  // namespace carawayvalve::core
