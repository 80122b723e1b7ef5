#include "carawayvalve/core/watch_plan.h"

#include <doctest/doctest.h>

#include <string>

namespace carawayvalve::core {

using base::Milliseconds;

namespace {

constexpr Milliseconds kBaseWait(2000);

std::vector<base::HostId> Hosts(int count) {
  std::vector<base::HostId> hosts;
  hosts.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts.push_back({"host" + std::to_string(i)});
  }
  return hosts;
}

// Returns the calls per second of all hosts while nothing changes.
double CallsPerSecond(const std::vector<base::HostId>& hosts) {
  double calls = 0;
  for (const base::HostId& host : hosts) {
    const WatchWaits waits = PlanWatches(host, hosts, kBaseWait);
    calls += 1000.0 / static_cast<double>(waits.configuration.count());
    calls += 1000.0 / static_cast<double>(waits.backends.count());
  }
  return calls;
}

}  // namespace

TEST_CASE("PlanWatches") {
  SUBCASE("a few of many hosts poll the configuration's freshness") {
    const auto hosts = Hosts(26);
    int pollers = 0;
    for (const base::HostId& host : hosts) {
      pollers += PlanWatches(host, hosts, kBaseWait).configuration < kBaseWait;
    }
    CHECK(pollers == 3);
  }
  SUBCASE("each of a few hosts uses the base wait") {
    const auto hosts = Hosts(3);
    for (const base::HostId& host : hosts) {
      CHECK(PlanWatches(host, hosts, kBaseWait) ==
            WatchWaits{kBaseWait, kBaseWait});
    }
  }
  SUBCASE("many hosts make few calls in total") {
    CHECK(CallsPerSecond(Hosts(26)) < 26 * 2 / 2.0 / 3);
  }
}

}  // namespace carawayvalve::core
