#include "traffic_control.h"

#include <doctest/doctest.h>

namespace carawayvalve::entry {

TEST_CASE("entry processes divide an account's limit among them") {
  const base::ClientAccountId guild{"guild"};
  TrafficControl control({"boot"});
  const auto admits = [&] {
    const auto result =
        control.Admit(guild, {}, base::Now() + std::chrono::seconds(1));
    return std::holds_alternative<core::Admitted>(result);
  };
  control.SetAccounts({{.name = guild, .max_requests_in_flight = 3}});
  control.SetProcessCount(6);
  REQUIRE(admits());
  CHECK_FALSE(admits());

  SUBCASE("a new configuration changes the limit") {
    control.SetAccounts({{.name = guild, .max_requests_in_flight = 6}});
    CHECK(admits());
    CHECK_FALSE(admits());
  }
  SUBCASE("the last remaining process gets the whole limit") {
    control.SetProcessCount(1);
    CHECK(admits());
    CHECK(admits());
    CHECK_FALSE(admits());
  }
}

}  // namespace carawayvalve::entry
