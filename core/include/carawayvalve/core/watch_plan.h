#ifndef CARAWAYVALVE_CORE_WATCH_PLAN_H_
#define CARAWAYVALVE_CORE_WATCH_PLAN_H_

#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// How long the watches of one process wait before they are renewed. Changes
// end a watch at once, however long it waits; each renewal is a call that the
// store counts.
struct WatchWaits {
  base::Milliseconds configuration;
  base::Milliseconds backends;

  bool operator==(const WatchWaits&) const = default;
};

// Plans the watches of `self` among the `live` hosts, itself included, where a
// lone process renews its watches after `shortest`. Of many hosts a few renew
// the watch of the configuration twice that often and prove to the others how
// fresh theirs is. Processes that know the same live hosts agree on who does.
WatchWaits PlanWatches(const base::HostId& self,
                       const std::vector<base::HostId>& live,
                       base::Milliseconds shortest);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_WATCH_PLAN_H_
