#include "carawayvalve/base/json_difference.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::base {

using nlohmann::json;

namespace {

constexpr int kRoutes = 2850;

// Returns an object as it is read, which distinguishes kinds of numbers.
json Read(const json& value) {
  return json::parse(PrintJson(value));
}

json ManyRoutes() {
  json routes = json::array();
  for (int i = 0; i < kRoutes; ++i) {
    routes.push_back({{"name", "route-" + std::to_string(i)},
                      {"prefix", "/p" + std::to_string(i) + "/"}});
  }
  return Read({{"version", 7}, {"routes", routes}, {"limits", {{"bytes", 1}}}});
}

// Returns the difference as a peer receives it.
json Sent(const json& from, const json& to) {
  return Read(DifferenceBetween(Read(from), Read(to)));
}

// An object of a few arrays and other members.
rc::Gen<json> AnyObject() {
  const auto element = rc::gen::map(rc::gen::inRange(0, 6), [](int id) {
    return json({{"name", std::to_string(id)}});
  });
  return rc::gen::map(
      rc::gen::pair(rc::gen::container<std::vector<std::vector<json>>>(
                        rc::gen::container<std::vector<json>>(element)),
                    rc::gen::arbitrary<std::vector<int>>()),
      [](const auto& members) {
        json object = json::object();
        for (size_t i = 0; i < members.first.size(); ++i) {
          object["array" + std::to_string(i)] = members.first[i];
        }
        for (size_t i = 0; i < members.second.size(); ++i) {
          object["member" + std::to_string(i)] = members.second[i];
        }
        return Read(object);
      });
}

}  // namespace

TEST_CASE("a difference turns any object into any other") {
  CHECK(rc::check([] {
    const json from = *AnyObject();
    const json to = *AnyObject();
    RC_ASSERT(ApplyDifference(from, Sent(from, to)) == to);
  }));
}

TEST_CASE("a difference between large objects is as small as the change") {
  const json from = ManyRoutes();
  json to = from;
  to["version"] = 9;
  json& routes = to["routes"];

  SUBCASE("of an element that is inserted") {
    routes.insert(routes.begin() + kRoutes / 2, json({{"name", "new"}}));
  }
  SUBCASE("of one that is removed") {
    routes.erase(kRoutes / 2);
  }
  SUBCASE("of ones that change") {
    routes[3]["prefix"] = "/other/";
    routes[kRoutes - 3]["prefix"] = "/another/";
  }
  SUBCASE("of one that moves") {
    routes.push_back(routes[3]);
    routes.erase(3);
  }

  const json difference = Sent(from, to);
  CHECK(PrintJson(difference).size() < 500);
  CHECK(ApplyDifference(from, difference) == to);
}

TEST_CASE("a difference isn't applied") {
  const json from = ManyRoutes();
  json to = from;
  to["routes"].erase(5);
  json difference = Sent(from, to);

  SUBCASE("to another object") {
    json other = from;
    other["routes"][7]["name"] = "other";
    CHECK_THROWS_AS(ApplyDifference(other, difference), Error);
    CHECK_THROWS_AS(ApplyDifference(json::object(), difference), Error);
  }
  SUBCASE("beyond the elements that there are") {
    difference["spliced"]["routes"][0] = {0, kRoutes + 1};
    CHECK_THROWS_AS(ApplyDifference(from, difference), Error);
  }
  SUBCASE("to make more elements than an array may have") {
    for (int i = 0; i < 40; ++i) {
      difference["spliced"]["routes"].push_back({0, kRoutes});
    }
    CHECK_THROWS_AS(ApplyDifference(from, difference), Error);
  }
  SUBCASE("if it is malformed") {
    CHECK_THROWS_AS(ApplyDifference(from, json::array()), Error);
    CHECK_THROWS_AS(ApplyDifference(from, {{"replaced", 1}}), Error);
    difference["spliced"]["routes"] = {{"added", 1}};
    CHECK_THROWS_AS(ApplyDifference(from, difference), Error);
  }
}

}  // namespace carawayvalve::base
