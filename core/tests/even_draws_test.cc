#include "carawayvalve/core/even_draws.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace carawayvalve::core {

using base::Milliseconds;

namespace {

const base::ServiceId kService = {"models"};

// Returns how many draws of each of the processes, taken at this time, lie in
// each tenth of [0, 1).
std::vector<int> TenthsOf(std::vector<EvenDraws>& processes,
                          int draws_each,
                          base::Duration time) {
  std::vector<int> tenths(10);
  for (EvenDraws& process : processes) {
    for (int i = 0; i < draws_each; ++i) {
      ++tenths[static_cast<size_t>(process.Take(kService, time) * 10)];
    }
  }
  return tenths;
}

std::vector<EvenDraws> MakeProcesses(const std::vector<base::HostId>& hosts) {
  std::vector<EvenDraws> processes(hosts.size());
  for (size_t i = 0; i < hosts.size(); ++i) {
    processes[i].SetProcesses(hosts[i], hosts);
  }
  return processes;
}

}  // namespace

TEST_CASE("draws of several processes") {
  std::vector<EvenDraws> processes =
      MakeProcesses({{"a"}, {"b"}, {"c"}, {"d"}, {"e"}});

  SUBCASE("are spread evenly over all") {
    for (const int period : {0, 1, 7, 123456}) {
      const std::vector<int> tenths =
          TenthsOf(processes, 40, EvenDraws::kPeriod * period);
      CHECK(*std::min_element(tenths.begin(), tenths.end()) >= 17);
      CHECK(*std::max_element(tenths.begin(), tenths.end()) <= 23);
    }
  }
  SUBCASE("of one process stay near each other, but not for long") {
    std::vector<EvenDraws> one = {processes[0]};
    const auto reached = [&](int periods) {
      std::vector<int> tenths(10);
      for (int period = 0; period < periods; ++period) {
        const auto more = TenthsOf(one, 10, EvenDraws::kPeriod * period);
        std::transform(tenths.begin(), tenths.end(), more.begin(),
                       tenths.begin(), std::plus<>());
      }
      return 10 - std::count(tenths.begin(), tenths.end(), 0);
    };
    CHECK(reached(1) <= 3);
    CHECK(reached(8) == 10);
  }
  SUBCASE("still reach all when one process has gone unnoticed") {
    processes.pop_back();
    std::vector<int> sum(10);
    for (int period = 0; period < 10; ++period) {
      const auto more = TenthsOf(processes, 20, EvenDraws::kPeriod * period);
      std::transform(sum.begin(), sum.end(), more.begin(), sum.begin(),
                     std::plus<>());
    }
    CHECK(std::count(sum.begin(), sum.end(), 0) == 0);
  }
}

TEST_CASE("draws of one process") {
  EvenDraws draws;

  SUBCASE("cover everything when it is alone or isn't listed") {
    draws.SetProcesses({"z"}, {{"a"}, {"b"}});
    std::vector<EvenDraws> alone = {draws};
    const std::vector<int> tenths = TenthsOf(alone, 100, Milliseconds(0));
    CHECK(*std::min_element(tenths.begin(), tenths.end()) >= 9);
  }
  SUBCASE("are known before they are taken") {
    const double next = draws.Next(kService, Milliseconds(0));
    CHECK(draws.Next(kService, Milliseconds(0)) == next);
    CHECK(draws.Take(kService, Milliseconds(0)) == next);
    CHECK(draws.Next(kService, Milliseconds(0)) != next);

    SUBCASE("for each service apart") {
      CHECK(draws.Next({"desk"}, Milliseconds(0)) == next);
    }
  }
}

}  // namespace carawayvalve::core
