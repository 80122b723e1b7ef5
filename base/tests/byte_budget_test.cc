// Guards against peers that send without end and take a process over its
// memory.
#include "carawayvalve/base/byte_budget.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace carawayvalve::base {

TEST_CASE("ByteBudget") {
  const auto budget = std::make_shared<ByteBudget>(100);
  std::vector<std::string> dropped;
  const auto drop = [&](const std::string& name) {
    return [&dropped, name] { dropped.push_back(name); };
  };
  ByteBudget::Buffer small(budget, drop("small"));
  ByteBudget::Buffer large(budget, drop("large"));
  small.Resize(30);
  large.Resize(70);

  SUBCASE("keeps what fits") {
    CHECK(budget->used() == 100);
    CHECK(dropped.empty());
  }
  SUBCASE("drops the largest buffer, whichever grows") {
    small.Resize(31);
    CHECK(dropped == std::vector<std::string>{"large"});
    CHECK(budget->used() == 31);
    CHECK(budget->dropped() == 1);

    SUBCASE("which counts no longer") {
      large.Resize(1000);
      CHECK(budget->used() == 31);
      CHECK(dropped.size() == 1);
    }
  }
  SUBCASE("drops the largest that may be dropped") {
    large.Resize(70, false);
    small.Resize(40);
    CHECK(dropped == std::vector<std::string>{"small"});
    CHECK(budget->used() == 70);
  }
  SUBCASE("holds more if none may be dropped") {
    small.Resize(20, false);
    large.Resize(90, false);
    CHECK(dropped.empty());
    CHECK(budget->used() == 110);
  }
  SUBCASE("drops as many as it must") {
    ByteBudget::Buffer fixed(budget, drop("fixed"));
    fixed.Resize(90, false);
    CHECK(dropped == std::vector<std::string>{"large", "small"});
    CHECK(budget->used() == 90);
  }
  SUBCASE("gets back what a buffer held at its end") {
    {
      ByteBudget::Buffer brief(budget, drop("brief"));
      large.Resize(10);
      brief.Resize(50);
      CHECK(budget->used() == 90);
    }
    CHECK(budget->used() == 40);
  }
}

}  // namespace carawayvalve::base
