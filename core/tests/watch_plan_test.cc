#include "carawayvalve/core/watch_plan.h"

#include <doctest/doctest.h>

#include <string>

namespace carawayvalve::core {

using base::Milliseconds;

namespace {

constexpr Milliseconds kBaseWait(2000);
// A draining backend server gets no more requests after this time, and a
// changed configuration is in force after a longer one (platform rules).
constexpr Milliseconds kDrainBound(2000);

std::vector<base::HostId> Hosts(int count) {
  std::vector<base::HostId> hosts;
  hosts.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts.push_back({"host" + std::to_string(i)});
  }
  return hosts;
}

// Returns the calls per second of a host while nothing changes and it hears
// nothing from the others, or, if it has no call pending, something from them.
double CallsPerSecond(const WatchSchedule& schedule) {
  const Milliseconds interval =
      schedule.wait.has_value() ? *schedule.wait : *schedule.renew_age;
  return 1000.0 / static_cast<double>(interval.count());
}

// Returns the calls per second of all hosts while nothing changes and the
// first host is heard by all.
double CallsPerSecond(const std::vector<base::HostId>& hosts) {
  Milliseconds shortest(Milliseconds::max());
  for (const base::HostId& host : hosts) {
    const auto renew_age =
        PlanWatches(host, hosts, kBaseWait).configuration.renew_age;
    shortest = std::min(shortest, renew_age.value_or(shortest));
  }
  double calls = 0;
  for (const base::HostId& host : hosts) {
    const WatchWaits waits = PlanWatches(host, hosts, kBaseWait);
    for (const WatchSchedule& schedule :
         {waits.configuration, waits.backends}) {
      const bool asks = schedule.wait.has_value() ||
                        schedule.renew_age.value_or(shortest) == shortest;
      calls += asks ? CallsPerSecond(schedule) : 0;
    }
  }
  return calls;
}

}  // namespace

TEST_CASE("PlanWatches") {
  SUBCASE("each of a few hosts uses the base wait") {
    const auto hosts = Hosts(3);
    for (const base::HostId& host : hosts) {
      CHECK(PlanWatches(host, hosts, kBaseWait) ==
            WatchWaits{{kBaseWait, std::nullopt}, {kBaseWait, std::nullopt}});
    }
  }
  SUBCASE("of many hosts one asks at an interval and two watch") {
    const auto hosts = Hosts(26);
    int polling = 0;
    int watching = 0;
    for (const base::HostId& host : hosts) {
      const WatchWaits waits = PlanWatches(host, hosts, kBaseWait);
      CHECK(waits.configuration == waits.backends);
      watching += waits.backends.wait.has_value() ? 1 : 0;
      polling += waits.backends.renew_age < Milliseconds(1000) ? 1 : 0;
    }
    CHECK(polling == 1);
    CHECK(watching == 2);
  }
  SUBCASE("whoever hears nothing asks in time for the shortest bound") {
    for (const int count : {4, 26, 48}) {
      const auto hosts = Hosts(count);
      for (const base::HostId& host : hosts) {
        const WatchWaits waits = PlanWatches(host, hosts, kBaseWait);
        // A quarter of the bound is left for the call and between two checks.
        CHECK(waits.backends.renew_age <= kDrainBound * 3 / 4);
        CHECK(waits.configuration.renew_age <= kDrainBound * 3 / 4);
      }
    }
  }
  SUBCASE("each of very many hosts watches the backend servers") {
    const auto hosts = Hosts(300);
    for (const base::HostId& host : hosts) {
      CHECK(PlanWatches(host, hosts, kBaseWait).backends.wait.has_value());
    }
  }
  SUBCASE("many hosts make few calls in total") {
    CHECK(CallsPerSecond(Hosts(26)) < 26 * 2 / 2.0 / 3);
    // Half of what three hosts that renew twice as often, and watches of each
    // host that change renews, would make.
    CHECK(CallsPerSecond(Hosts(26)) < 26 * 2 / 2.0 / 5);
  }
}

}  // namespace carawayvalve::core
