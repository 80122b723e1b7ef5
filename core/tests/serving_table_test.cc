#include "carawayvalve/core/serving_table.h"

#include <doctest/doctest.h>

#include <map>

namespace carawayvalve::core {

namespace {

config::ServingRoute Route(const std::string& name, const std::string& prefix) {
  config::ServingRoute route;
  route.name = {name};
  route.host = "a.example";
  route.path_prefix = prefix;
  route.services = {{{"desk"}, 1}};
  return route;
}

}  // namespace

TEST_CASE("ServingTable") {
  config::ServingPlan plan;
  plan.version = 3;
  plan.routes = {Route("short", "/a/"), Route("long", "/a/b/")};
  plan.accounts = {{{"guild"}, {"k1", "k2"}, std::nullopt}};
  const ServingTable table(plan);

  SUBCASE("finds the longest matching path prefix") {
    CHECK(table.FindRoute("a.example", "/a/b/c")->name.value == "long");
    CHECK(table.FindRoute("a.example", "/a/bc")->name.value == "short");
    CHECK(table.FindRoute("a.example:80", "/a/?x=/a/b/")->name.value ==
          "short");
  }
  SUBCASE("finds no route for another path or host") {
    CHECK(table.FindRoute("a.example", "/") == nullptr);
    CHECK(table.FindRoute("a.example", "/a") == nullptr);
    CHECK(table.FindRoute("b.example", "/a/") == nullptr);
  }
  SUBCASE("finds the account of each of its keys") {
    CHECK(table.FindAccount("k2")->name.value == "guild");
    CHECK(table.FindAccount("k3") == nullptr);
  }
}

TEST_CASE("ChooseService") {
  config::ServingRoute route = Route("r", "/");
  route.services = {{{"a"}, 90}, {{"b"}, 10}, {{"c"}, 0}};
  std::map<std::string, int> chosen;
  for (int i = 0; i < 2000; ++i) {
    ++chosen[ChooseService(route, "request" + std::to_string(i)).value];
  }

  SUBCASE("distributes requests by weight") {
    CHECK(chosen["b"] > 100);
    CHECK(chosen["b"] < 300);
    CHECK(chosen.count("c") == 0);
  }
  SUBCASE("always chooses the same service for a request") {
    CHECK(ChooseService(route, "x") == ChooseService(route, "x"));
  }
  SUBCASE("chooses the first service if all weights are zero") {
    route.services = {{{"a"}, 0}, {{"b"}, 0}};
    CHECK(ChooseService(route, "x").value == "a");
  }
}

}  // namespace carawayvalve::core
