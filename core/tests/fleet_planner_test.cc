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

  SUBCASE("of a new holder waits until the list is current") {
    CHECK_FALSE(planner.Plan(minimums, servers, now));
    now += options.list_lag;

    SUBCASE("then starts missing servers") {
      REQUIRE(planner.Plan(minimums, servers, now) == start);

      SUBCASE("and counts an unlisted server until the list lag has passed") {
        planner.RecordOutcome(FleetOutcome::kDone, {{"b2"}, {"bench"}}, now);
        CHECK_FALSE(planner.Plan(minimums, servers, now));
        CHECK(planner.Plan(minimums, servers, now + options.list_lag) == start);
      }
      SUBCASE("and counts the new server once when it is listed") {
        planner.RecordOutcome(FleetOutcome::kDone, {{"b2"}, {"bench"}}, now);
        servers = {{{"b2"}, {"bench"}, true}};
        CHECK(planner.Plan(minimums, servers, now) == start);
      }
      SUBCASE("and waits for the list after an unknown outcome") {
        planner.RecordOutcome(FleetOutcome::kUnknown, {}, now);
        CHECK_FALSE(planner.Plan(minimums, servers, now));
        CHECK(planner.Plan(minimums, servers, now + options.list_lag) == start);
      }
      SUBCASE("and continues at once after an order that wasn't sent") {
        planner.RecordOutcome(FleetOutcome::kNotSent, {}, now);
        CHECK(planner.Plan(minimums, servers, now) == start);
      }
    }
    SUBCASE("doesn't count stopping servers") {
      servers = {{{"b1"}, {"bench"}, true}, {{"b2"}, {"bench"}, false}};
      CHECK(planner.Plan(minimums, servers, now) == start);
    }
    SUBCASE("starts and stops nothing at or above the minimum") {
      servers.resize(4, {{"b2"}, {"bench"}, true});
      CHECK_FALSE(planner.Plan(minimums, servers, now));
    }
    SUBCASE("orders nothing without a minimum") {
      CHECK_FALSE(planner.Plan({}, servers, now));
    }
  }
}

TEST_CASE("DataCentreShare") {
  CHECK(DataCentreShare(3, {{"b"}, {"a"}}, {"a"}) == 2);
  CHECK(DataCentreShare(3, {{"b"}, {"a"}}, {"c"}) == 0);
  CHECK(rc::check("shares add up to the total", [] {
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
