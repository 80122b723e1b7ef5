#ifndef CARAWAYVALVE_CORE_WATCH_PLAN_H_
#define CARAWAYVALVE_CORE_WATCH_PLAN_H_

#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// How long the store watches of one process wait before they are renewed. A
// change ends a watch at once, however long it waits. Each renewal is a call
// that the store counts.
struct WatchWaits {
  base::Milliseconds configuration;
  base::Milliseconds backends;

  bool operator==(const WatchWaits&) const = default;
};

// Returns the waits of `self` among the `live` hosts, which include it. A
// single process renews its watches after `base_wait`. Of many hosts a few
// poll: they renew the configuration watch twice as often and tell the others
// how fresh the configuration is. Processes with the same live hosts choose the
// same ones.
WatchWaits PlanWatches(const base::HostId& self,
                       const std::vector<base::HostId>& live,
                       base::Milliseconds base_wait);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_WATCH_PLAN_H_
