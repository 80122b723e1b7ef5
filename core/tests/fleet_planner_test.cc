#include "carawayvalve/core/fleet_planner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace carawayvalve::core {

using base::DataCentreId;

TEST_CASE("FleetPlanner") {
  const FleetPlannerOptions options;
  base::Instant now;
  FleetPlanner planner(options, now);
  const std::vector<FleetMinimum> minimums = {{{"bench"}, 2}, {{"desk"}, 0}};
  std::vector<ListedServer> servers = {{{"b1"}, {"bench"}, true}};
  const FleetOrder start{FleetAction::kStart, {"bench"}, {}};

  SUBCASE("of a new holder waits for the list") {
    CHECK_FALSE(planner.Plan(minimums, servers, now));
    now += options.list_lag;

    SUBCASE("then starts what is missing") {
      REQUIRE(planner.Plan(minimums, servers, now) == start);

      SUBCASE("and counts a server that isn't listed yet, for a while") {
        planner.RecordOutcome(FleetOutcome::kDone, {{"b2"}, {"bench"}}, now);
        CHECK_FALSE(planner.Plan(minimums, servers, now));
        CHECK(planner.Plan(minimums, servers, now + options.list_lag) == start);
      }
      SUBCASE("and counts it once when it is listed") {
        planner.RecordOutcome(FleetOutcome::kDone, {{"b2"}, {"bench"}}, now);
        servers = {{{"b2"}, {"bench"}, true}};
        CHECK(planner.Plan(minimums, servers, now) == start);
      }
      SUBCASE("and waits for the list after an unknown outcome") {
        planner.RecordOutcome(FleetOutcome::kUnknown, {}, now);
        CHECK_FALSE(planner.Plan(minimums, servers, now));
        CHECK(planner.Plan(minimums, servers, now + options.list_lag) == start);
      }
      SUBCASE("and goes on at once after an order that wasn't sent") {
        planner.RecordOutcome(FleetOutcome::kNotSent, {}, now);
        CHECK(planner.Plan(minimums, servers, now) == start);
      }
    }
    SUBCASE("counts no server that stops") {
      servers = {{{"b1"}, {"bench"}, true}, {{"b2"}, {"bench"}, false}};
      CHECK(planner.Plan(minimums, servers, now) == start);
    }
    SUBCASE("orders nothing when the need is met, nor stops what is above it") {
      servers.resize(4, {{"b2"}, {"bench"}, true});
      CHECK_FALSE(planner.Plan(minimums, servers, now));
    }
    SUBCASE("orders nothing without a need") {
      CHECK_FALSE(planner.Plan({}, servers, now));
    }
  }
}

TEST_CASE("the shares of the data centres") {
  CHECK(DataCentreShare(3, {{"b"}, {"a"}}, {"a"}) == 2);
  CHECK(DataCentreShare(3, {{"b"}, {"a"}}, {"c"}) == 0);
  CHECK(rc::check("add up to the total", [] {
    const int count = *rc::gen::inRange(1, 9);
    const int32_t total = *rc::gen::inRange(0, 400);
    std::vector<DataCentreId> names;
    names.reserve(count);
    for (int i = 0; i < count; ++i) {
      names.push_back({"dc" + std::to_string(i)});
    }
    int32_t sum = 0;
    for (const DataCentreId& name : names) {
      sum += DataCentreShare(total, names, name);
    }
    RC_ASSERT(sum == total);
  }));
}

}  // namespace carawayvalve::core
