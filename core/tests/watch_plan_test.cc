#include "carawayvalve/core/watch_plan.h"

#include <doctest/doctest.h>

#include <string>

namespace carawayvalve::core {

using base::Milliseconds;

namespace {

constexpr Milliseconds kShortest(2000);

std::vector<base::HostId> Hosts(int count) {
  std::vector<base::HostId> hosts;
  hosts.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    hosts.push_back({"host" + std::to_string(i)});
  }
  return hosts;
}

// Calls a second that all of them make on a quiet day.
double Calls(const std::vector<base::HostId>& hosts) {
  double calls = 0;
  for (const base::HostId& host : hosts) {
    const WatchWaits waits = PlanWatches(host, hosts, kShortest);
    calls += 1000.0 / static_cast<double>(waits.configuration.count());
    calls += 1000.0 / static_cast<double>(waits.backends.count());
  }
  return calls;
}

}  // namespace

TEST_CASE("the watches of all hosts") {
  SUBCASE("of which a few prove how fresh the configuration is") {
    const auto hosts = Hosts(26);
    int provers = 0;
    for (const base::HostId& host : hosts) {
      provers += PlanWatches(host, hosts, kShortest).configuration < kShortest;
    }
    CHECK(provers == 3);
  }
  SUBCASE("each of few hosts proves it for itself") {
    const auto hosts = Hosts(3);
    for (const base::HostId& host : hosts) {
      CHECK(PlanWatches(host, hosts, kShortest) ==
            WatchWaits{kShortest, kShortest});
    }
  }
  SUBCASE("make fewer calls than hosts that each renew theirs that often") {
    CHECK(Calls(Hosts(26)) < 26 * 2 / 2.0 / 3);
  }
}

}  // namespace carawayvalve::core
