#include "carawayvalve/core/duty.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace carawayvalve::core {

using base::HostId;

namespace {

std::vector<HostId> Hosts(const std::set<uint8_t>& numbers) {
  std::vector<HostId> hosts;
  hosts.reserve(numbers.size());
  for (const uint8_t number : numbers) {
    hosts.push_back({"host-" + std::to_string(number)});
  }
  return hosts;
}

}  // namespace

TEST_CASE("Duties") {
  SUBCASE("of different kinds have different names") {
    CHECK(DutyName(RolesDuty{{"a"}}) == "roles/a");
    CHECK(DutyName(FleetDuty{{"a"}}) == "fleet/a");
    CHECK(DutyName(UsageDuty{{"a"}}) == "usage/a");
  }

  SUBCASE("without live hosts have no preferred holder") {
    CHECK(PreferredHolder("fleet/a", {}) == std::nullopt);
  }

  SUBCASE("have few candidates, the preferred one without delay") {
    const std::vector<HostId> hosts = Hosts({1, 2, 3, 4, 5, 6, 7});
    const std::vector<HostId> ranked = RankHolders("fleet/a", hosts);
    const auto delay = [&](const HostId& host) {
      return TakeoverDelay("fleet/a", host, hosts, std::chrono::seconds(5));
    };
    CHECK(ranked.front() == PreferredHolder("fleet/a", hosts));
    CHECK(delay(ranked[0]) == std::chrono::seconds(0));
    CHECK(delay(ranked[2]) == std::chrono::seconds(10));
    CHECK(delay(ranked[kMaxDutyCandidates]) == std::nullopt);
    CHECK(delay(HostId{"unknown"}) == std::nullopt);
  }

  SUBCASE("are spread evenly: none of ten hosts holds a fifth or more") {
    const std::vector<HostId> hosts = Hosts({1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    std::map<HostId, int> held;
    for (int i = 0; i < 1000; ++i) {
      held[*PreferredHolder("roles/" + std::to_string(i), hosts)] += 1;
    }
    CHECK(held.size() == hosts.size());
    for (const auto& [host, count] : held) {
      CHECK(count < 200);
    }
  }
}

TEST_CASE("Duties under any set of hosts") {
  CHECK(rc::check("a host that leaves moves no duty between two other hosts",
                  [](std::set<uint8_t> numbers, const std::string& name) {
                    RC_PRE(numbers.size() > 1u);
                    const auto before = PreferredHolder(name, Hosts(numbers));
                    const uint8_t removed = *numbers.begin();
                    numbers.erase(removed);
                    const auto after = PreferredHolder(name, Hosts(numbers));
                    RC_ASSERT(before == after ||
                              before == Hosts({removed}).front());
                  }));

  CHECK(rc::check("the ranking doesn't depend on the order of the input",
                  [](const std::set<uint8_t>& numbers) {
                    std::vector<HostId> hosts = Hosts(numbers);
                    const auto ranked = RankHolders("usage/a", hosts);
                    std::reverse(hosts.begin(), hosts.end());
                    RC_ASSERT(RankHolders("usage/a", hosts) == ranked);
                  }));
}

}  // namespace carawayvalve::core
