#ifndef CARAWAYVALVE_CORE_WATCH_PLAN_H_
#define CARAWAYVALVE_CORE_WATCH_PLAN_H_

#include <optional>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// How one process follows the changes of a kind of objects in the store. Each
// call has a price.
struct WatchSchedule {
  // How long its watches wait for a change before they are renewed; a change
  // ends a watch at once, however long it waits. Empty for a process that has
  // no watch and is told of changes by its peers.
  std::optional<base::Milliseconds> wait;
  // Once neither the store nor a peer has confirmed for this time that all
  // changes are known here, the store is asked, with an answer at once. Empty
  // for never.
  std::optional<base::Milliseconds> renew_age;

  bool operator==(const WatchSchedule&) const = default;
};

// How one process follows the store.
struct WatchWaits {
  WatchSchedule configuration;
  WatchSchedule backends;

  bool operator==(const WatchWaits&) const = default;
};

// Returns the schedule of `self` among the `live` hosts, which include it. A
// single process renews its watches after `base_wait`. Of many hosts, one asks
// the store at a short interval and two watch it; the others hear from them
// what has changed, and how long ago the store has confirmed it. Whoever hears
// too little asks for itself, the hosts one after the other, so that it makes
// no difference which hosts are down or cut off. Of very many hosts, whose
// messages take long to come round, each watches. Processes with the same live
// hosts choose the same ones.
WatchWaits PlanWatches(const base::HostId& self,
                       const std::vector<base::HostId>& live,
                       base::Milliseconds base_wait);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_WATCH_PLAN_H_
