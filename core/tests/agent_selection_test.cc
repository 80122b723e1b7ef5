#include "carawayvalve/core/agent_selection.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace carawayvalve::core {

namespace {

std::vector<BackendHost> Hosts(int data_centres,
                               int services,
                               int per_service) {
  std::vector<BackendHost> hosts;
  for (int d = 0; d < data_centres; ++d) {
    for (int s = 0; s < services; ++s) {
      for (int i = 0; i < per_service; ++i) {
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
  SUBCASE("chooses every host of a small deployment") {
    CHECK(ChooseAgents(Hosts(3, 2, 4), {"e"}, {"0"}).size() == 24);
  }

  SUBCASE("in a large deployment") {
    const auto hosts = Hosts(18, 17, 4);
    const auto chosen = ChooseAgents(hosts, {"e"}, {"0"});

    SUBCASE("chooses all local hosts and a bounded number of remote ones") {
      CHECK(chosen.size() == 17 * 4 + kMaxRemoteAgents);
    }
    SUBCASE("chooses remote hosts of each service") {
      std::set<base::ServiceId> services;
      for (const BackendHost& host : hosts) {
        if (host.data_centre.value != "0" && chosen.contains(host.host)) {
          services.insert(host.service);
        }
      }
      CHECK(services.size() == 17);
    }
  }

  CHECK(rc::check("removing a host drops no other host from the choice", [] {
    auto hosts = Hosts(4, 2, 4);
    const auto before = ChooseAgents(hosts, {"e"}, {"0"}, 6);
    const auto removed = *rc::gen::inRange<size_t>(0, hosts.size());
    const base::HostId name = hosts[removed].host;
    hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(removed));
    const auto after = ChooseAgents(hosts, {"e"}, {"0"}, 6);
    for (const base::HostId& host : before) {
      RC_ASSERT(host == name || after.contains(host));
    }
  }));
}

}  // namespace carawayvalve::core
