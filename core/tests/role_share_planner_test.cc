#include "carawayvalve/core/role_share_planner.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace carawayvalve::core {

using base::Instant;
using config::EngineRole;
using std::chrono::seconds;

namespace {

constexpr int64_t kManySlots = 64;

std::vector<BackendEntry> Engines(const std::string& centre,
                                  int prefill,
                                  int decode,
                                  int64_t slots = kManySlots) {
  std::vector<BackendEntry> engines;
  for (int i = 0; i < prefill + decode; ++i) {
    BackendEntry engine;
    engine.id = {centre + std::to_string(i)};
    engine.data_centre = {centre};
    engine.slots = slots;
    engine.role = i < prefill ? EngineRole::kPrefill : EngineRole::kDecode;
    engines.push_back(engine);
  }
  return engines;
}

int64_t CountOf(const std::vector<RoleChange>& changes, EngineRole role) {
  return std::count_if(
      changes.begin(), changes.end(),
      [&](const RoleChange& change) { return change.role == role; });
}

}  // namespace

TEST_CASE("engines of several software versions") {
  const Instant now = Instant() + seconds(100);
  RoleSharePlanner planner({.prefill_share = 0.75});
  // One in four decodes, all of the old version.
  std::vector<BackendEntry> engines = Engines("a", 6, 2);
  for (size_t i = 0; i < engines.size(); ++i) {
    engines[i].software_version = i < 3 ? "new" : "old";
  }

  SUBCASE(
      "each version gets two that decode, one change at a time under load") {
    for (int order = 0; order < 2; ++order) {
      const auto changes = planner.Plan(engines, true, now);
      REQUIRE(changes.size() == 1);
      CHECK(changes.front().role == EngineRole::kDecode);
      const auto changed = std::find_if(
          engines.begin(), engines.end(), [&](const BackendEntry& engine) {
            return engine.id == changes.front().backend_server;
          });
      CHECK(changed->software_version == "new");
      planner.NoteOrdered(changes.front(), now);
      changed->role = EngineRole::kDecode;
    }
    CHECK(planner.Plan(engines, true, now).empty());

    SUBCASE("and keeps them without load") {
      CHECK(CountOf(planner.Plan(engines, false, now + seconds(20)),
                    EngineRole::kPrefill) == 0);
    }
  }
  SUBCASE("a version with a single engine gets none for its own sake") {
    for (size_t i = 1; i < engines.size(); ++i) {
      engines[i].software_version = "old";
    }
    CHECK(planner.Plan(engines, true, now).empty());
  }
}

TEST_CASE("RoleSharePlanner") {
  const Instant now = Instant() + seconds(100);
  RoleSharePlanner planner({.prefill_share = 0.75});

  SUBCASE("without load, all changes are planned at once") {
    const auto changes = planner.Plan(Engines("a", 2, 6), false, now);
    CHECK(changes.size() == 4);
    CHECK(CountOf(changes, EngineRole::kPrefill) == 4);

    SUBCASE("and count as done during the dwell time") {
      for (const RoleChange& change : changes) {
        planner.NoteOrdered(change, now);
      }
      CHECK(planner.Plan(Engines("a", 2, 6), false, now + seconds(1)).empty());

      SUBCASE("but are planned again if they weren't carried out") {
        CHECK(
            planner.Plan(Engines("a", 2, 6), false, now + seconds(8)).size() ==
            4);
      }
    }
  }
  SUBCASE("each data centre keeps a decode engine") {
    CHECK(planner.Plan(Engines("a", 1, 1), false, now).empty());
    CHECK(CountOf(planner.Plan(Engines("a", 2, 0), false, now),
                  EngineRole::kDecode) == 1);
  }
  SUBCASE("a single engine decodes") {
    CHECK(CountOf(planner.Plan(Engines("a", 1, 0), false, now),
                  EngineRole::kDecode) == 1);
  }
  SUBCASE("under load") {
    SUBCASE("a data centre that is one engine off isn't changed") {
      CHECK(planner.Plan(Engines("a", 5, 3), true, now).empty());
    }
    SUBCASE("a data centre that is further off changes one engine at a time") {
      CHECK(planner.Plan(Engines("a", 3, 5), true, now).size() == 1);
    }
    SUBCASE("a data centre without a decode engine gets one") {
      CHECK(planner.Plan(Engines("a", 3, 0), true, now).size() == 1);
    }
  }
  SUBCASE("draining engines and plain backend servers aren't counted") {
    auto engines = Engines("a", 0, 2);
    engines[0].draining = true;
    engines[1].role.reset();
    CHECK(planner.Plan(engines, false, now).empty());
  }
}

// Guards against orders that cost more than callers gain: to thousands of
// engines that have little to do.
TEST_CASE("A fleet with far more engines than its load needs") {
  const Instant now = Instant() + seconds(100);
  RoleSharePlanner planner({.prefill_share = 0.75});
  std::vector<BackendEntry> engines;
  for (const char* centre : {"a", "b", "c"}) {
    const auto more = Engines(centre, 375, 625);
    engines.insert(engines.end(), more.begin(), more.end());
  }
  // The first `busy` engines of the first data centre have prompts to read.
  const auto load_of = [&](size_t busy) {
    return [&engines, busy](const base::BackendServerId& id) {
      const auto found = std::find_if(
          engines.begin(), engines.end(),
          [&](const BackendEntry& engine) { return engine.id == id; });
      const bool reads = found < engines.begin() + static_cast<int64_t>(busy);
      return BackendLoad{.requests = 1, .unread_tokens = reads ? 1000 : 0};
    };
  };

  SUBCASE("orders nothing, with or without load") {
    CHECK(planner.Plan(engines, false, now).empty());
    CHECK(planner.Plan(engines, true, now, load_of(0)).empty());
    CHECK(planner.Plan(engines, true, now, load_of(150)).empty());
  }
  SUBCASE("orders prefill engines where most of them are busy") {
    CHECK(planner.Plan(engines, true, now, load_of(300)).empty());

    SUBCASE("once that has lasted as long as an order takes") {
      const auto changes =
          planner.Plan(engines, true, now + seconds(3), load_of(300));
      REQUIRE(changes.size() == 1);
      CHECK(changes.front().role == EngineRole::kPrefill);
      CHECK(changes.front().backend_server.value.starts_with("a"));
    }
    SUBCASE("but not in a swing that ends before the order would pay") {
      CHECK(
          planner.Plan(engines, true, now + seconds(2), load_of(300)).empty());
      CHECK(planner.Plan(engines, true, now + seconds(3), load_of(0)).empty());

      SUBCASE("nor soon after the next one has begun") {
        CHECK(planner.Plan(engines, true, now + seconds(4), load_of(300))
                  .empty());
        CHECK(planner.Plan(engines, true, now + seconds(6), load_of(300))
                  .empty());
      }
    }
  }
  SUBCASE("gets enough of both roles for a first rush") {
    CHECK(CountOf(planner.Plan(Engines("a", 0, 1000), false, now),
                  EngineRole::kPrefill) == 32);
    CHECK(CountOf(planner.Plan(Engines("a", 1000, 0), false, now),
                  EngineRole::kDecode) == 32);
  }
  SUBCASE("a smaller one gets the shares that engines call for") {
    CHECK(CountOf(planner.Plan(Engines("a", 0, 40), false, now),
                  EngineRole::kPrefill) == 30);
  }
}

// Guards against streams that fill the few slots of the few decode engines,
// while requests for which the prefill engines have room wait behind them.
TEST_CASE("engines with few slots mostly decode") {
  const Instant now = Instant() + seconds(100);
  RoleSharePlanner planner(
      {.prefill_share = 0.75, .min_prefill_share = 0.25, .many_slots = 32});
  const auto planned_prefill = [&](int64_t slots) {
    return CountOf(planner.Plan(Engines("a", 0, 16, slots), false, now),
                   EngineRole::kPrefill);
  };
  CHECK(planned_prefill(64) == 12);
  CHECK(planned_prefill(32) == 12);
  CHECK(planned_prefill(16) == 8);
  CHECK(planned_prefill(8) == 6);
  CHECK(planned_prefill(1) == 4);
}

}  // namespace carawayvalve::core
