#include "carawayvalve/core/plan_log.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

namespace {

constexpr size_t kMaxBytes = 100;

}  // namespace

TEST_CASE("a log of the configuration's changes") {
  PlanLog log(kMaxBytes);
  CHECK_FALSE(log.Since(0).has_value());
  const PlanChange first{3, 7, "a"};
  const PlanChange second{7, 8, "b"};
  log.Append(first);
  log.Append(second);

  SUBCASE("has those since a version") {
    CHECK(log.Since(3) == std::vector<PlanChange>{first, second});
    CHECK(log.Since(7) == std::vector<PlanChange>{second});
  }

  SUBCASE("has none for other versions") {
    CHECK_FALSE(log.Since(8).has_value());
    CHECK_FALSE(log.Since(5).has_value());
  }

  SUBCASE("begins anew after a gap") {
    const PlanChange later{9, 11, "c"};
    log.Append(later);
    CHECK_FALSE(log.Since(3).has_value());
    CHECK(log.Since(9) == std::vector<PlanChange>{later});
  }

  SUBCASE("drops the earliest beyond its size") {
    const PlanChange large{8, 9, std::string(kMaxBytes - 1, 'x')};
    log.Append(large);
    CHECK_FALSE(log.Since(3).has_value());
    CHECK(log.Since(7) == std::vector<PlanChange>{second, large});

    SUBCASE("and all for one that is larger") {
      log.Append({9, 10, std::string(kMaxBytes + 1, 'x')});
      CHECK_FALSE(log.Since(8).has_value());
      log.Append(PlanChange{10, 11, "d"});
      CHECK(log.Since(10).has_value());
    }
  }
}

}  // namespace carawayvalve::core
