#include "carawayvalve/core/role_planner.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using config::EngineRole;

TEST_CASE("RolePlanner") {
  config::EngineRule rule;
  rule.min_prefill_engines = 1;
  rule.min_decode_engines = 1;
  rule.dwell_ms = 30000;
  RolePlanner planner(rule);
  const base::Instant now;
  std::vector<EngineState> engines = {{{"e1"}, EngineRole::kMixed, true, 5},
                                      {{"e2"}, EngineRole::kMixed, true, 1},
                                      {{"e3"}, EngineRole::kMixed, true, 3}};

  SUBCASE("changes the least busy engine first, one at a time") {
    const auto first = planner.Plan(engines, now);
    REQUIRE(first == RoleChange{{"e2"}, EngineRole::kDecode});
    planner.RecordChange({"e2"}, now);
    engines[1].role = EngineRole::kDecode;
    engines[1].ready = false;
    CHECK_FALSE(planner.Plan(engines, now));

    SUBCASE("then the next engine, until the rule is met") {
      engines[1].ready = true;
      CHECK(planner.Plan(engines, now) ==
            RoleChange{{"e3"}, EngineRole::kPrefill});
      engines[2].role = EngineRole::kPrefill;
      CHECK_FALSE(planner.Plan(engines, now));
    }
  }

  SUBCASE("continues with a draining engine") {
    engines[1].ready = false;
    engines[1].draining = true;
    engines[2].busy_requests = 0;
    const RoleChange same{{"e2"}, EngineRole::kDecode};
    CHECK(planner.Plan(engines, now) == same);

    SUBCASE("for at most two minutes") {
      planner.RecordDraining({"e2"}, now);
      planner.RecordDraining({"e2"}, now + std::chrono::seconds(119));
      CHECK(planner.Plan(engines, now + std::chrono::seconds(119)) == same);
      const base::Instant late = now + std::chrono::seconds(120);
      planner.RecordDraining({"e2"}, late);
      CHECK(planner.Plan(engines, late) != same);
      CHECK(planner.Plan(engines, late + std::chrono::seconds(30)) == same);
    }
  }

  SUBCASE("changes no engine within its dwell time") {
    engines.resize(1);
    planner.RecordChange({"e1"}, now);
    CHECK_FALSE(planner.Plan(engines, now + std::chrono::seconds(29)));
    CHECK(planner.Plan(engines, now + std::chrono::seconds(30)));
  }

  SUBCASE("takes no engine from a role without spare engines") {
    engines = {{{"e1"}, EngineRole::kDecode, true, 0},
               {{"e2"}, EngineRole::kDecode, true, 0}};
    CHECK(planner.Plan(engines, now) ==
          RoleChange{{"e1"}, EngineRole::kPrefill});
    engines.pop_back();
    CHECK_FALSE(planner.Plan(engines, now));
  }
}

}  // namespace carawayvalve::core
