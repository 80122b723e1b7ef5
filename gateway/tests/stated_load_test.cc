#include <doctest/doctest.h>

#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using tests::Backend;

// A machine that is shared with others says how long work takes there.
TEST_CASE("an engine says with an answer that it is slow") {
  RequestFixture fixture(1);
  GatewayState& state = fixture.gateway.state;
  Backend slow(fixture.gateway.loop, {.id = "slow"}, fixture.runs);
  fixture.Add("slow", slow.port(), EngineRole::kDecode);
  slow.stated_load = "1,0,8,400";

  SUBCASE("that counts where the deployment has contention") {
    state.settings.features.contention = true;
    fixture.SendRequest([](const std::string&) {});
    const auto newest = state.reported_load.Newest({"slow"}, base::Now());
    REQUIRE(newest.has_value());
    CHECK(newest->statement == core::LoadStatement{1, 0, 8, 4.0});
  }
  SUBCASE("elsewhere it doesn't") {
    fixture.SendRequest([](const std::string&) {});
    CHECK_FALSE(state.reported_load.Newest({"slow"}, base::Now()).has_value());
    CHECK(state.reported_load.Slowness({"slow"}, base::Now()) == 1);
  }
}

}  // namespace carawayvalve::gateway
