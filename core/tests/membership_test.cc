#include "carawayvalve/core/membership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace carawayvalve::core {

namespace {

std::vector<BackendHost> Hosts(int data_centres, int services, int each) {
  std::vector<BackendHost> hosts;
  for (int d = 0; d < data_centres; ++d) {
    for (int s = 0; s < services; ++s) {
      for (int i = 0; i < each; ++i) {
        const std::string name = std::to_string(d) + "-" + std::to_string(s) +
                                 "-" + std::to_string(i);
        hosts.push_back({{name}, {std::to_string(d)}, {std::to_string(s)}});
      }
    }
  }
  return hosts;
}

}  // namespace

TEST_CASE("ChooseAgents") {
  SUBCASE("takes every backend server of a small deployment") {
    CHECK(ChooseAgents(Hosts(3, 2, 4), {"e"}, {"0"}).size() == 24);
  }

  SUBCASE("given a large one") {
    const auto hosts = Hosts(18, 17, 4);
    const auto chosen = ChooseAgents(hosts, {"e"}, {"0"});

    SUBCASE("takes all of its own data centre and a bounded number elsewhere") {
      CHECK(chosen.size() == 17 * 4 + kMaxRemoteAgents);
    }
    SUBCASE("has remote backend servers of each service") {
      std::set<base::ServiceId> services;
      for (const BackendHost& host : hosts) {
        if (host.data_centre.value != "0" && chosen.contains(host.host)) {
          services.insert(host.service);
        }
      }
      CHECK(services.size() == 17);
    }
  }

  CHECK(rc::check("a host that goes takes the place of no other", [] {
    auto hosts = Hosts(4, 2, 4);
    const auto before = ChooseAgents(hosts, {"e"}, {"0"}, 6);
    const auto gone = *rc::gen::inRange<size_t>(0, hosts.size());
    const base::HostId name = hosts[gone].host;
    hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(gone));
    const auto after = ChooseAgents(hosts, {"e"}, {"0"}, 6);
    for (const base::HostId& host : before) {
      RC_ASSERT(host == name || after.contains(host));
    }
  }));
}

}  // namespace carawayvalve::core
