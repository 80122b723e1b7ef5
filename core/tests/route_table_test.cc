#include "carawayvalve/core/route_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace carawayvalve::core {

namespace {

config::Route MakeRoute(const std::string& name,
                        const std::string& host,
                        const std::string& path_prefix,
                        const std::vector<std::string>& methods = {}) {
  config::Route route;
  route.name = {name};
  route.host = host;
  route.path_prefix = path_prefix;
  route.methods = methods;
  return route;
}

std::string NameOf(const RouteResult& result) {
  const auto* found = std::get_if<RouteFound>(&result);
  return found == nullptr ? "" : found->route.name.value;
}

}  // namespace

TEST_CASE("RouteTable") {
  config::Declaration declaration;
  declaration.routes = {
      MakeRoute("all", "", "/"),
      MakeRoute("api", "", "/api"),
      MakeRoute("tickets-read", "", "/api/tickets", {"GET"}),
      MakeRoute("tickets-book", "", "/api/tickets/", {"POST"}),
      MakeRoute("desk", "Desk.example", "/"),
  };
  declaration.services = {{.name = {"desk"}, .models = {{"m1"}, {"m2"}}},
                          {.name = {"bench"}, .models = {{"m2"}}}};
  const RouteTable table(declaration);

  SUBCASE("the longest prefix of whole segments wins") {
    CHECK(NameOf(table.Match("x", "/api/slots?day=1", "GET")) == "api");
    CHECK(NameOf(table.Match("x", "/apix", "GET")) == "all");
    CHECK(NameOf(table.Match("x", "/", "GET")) == "all");
    CHECK(NameOf(table.Match("x", "/api/tickets/7", "POST")) == "tickets-book");
  }
  SUBCASE("an exact host name takes precedence, ignoring case and port") {
    CHECK(NameOf(table.Match("desk.EXAMPLE:8080", "/api", "GET")) == "desk");
    CHECK(NameOf(table.Match("[::1]:80", "/api", "GET")) == "api");
  }
  SUBCASE("a method that isn't allowed doesn't fall through to a wider route") {
    CHECK(table.Match("x", "/api/tickets", "DELETE") ==
          RouteResult(MethodNotAllowed{{"GET", "POST"}}));
  }
  SUBCASE("an ambiguous path matches nothing") {
    for (const char* path :
         {"/api/../admin", "/api/%2e%2E/x", "//api", "/api//x", "/a%2fb",
          "/a%5cb", "/%zz", "/a%2", "api", "", "/./api", "//", "/a\\b"}) {
      CAPTURE(path);
      CHECK(std::holds_alternative<NoSuchPath>(table.Match("x", path, "GET")));
    }
  }
  SUBCASE("an encoded letter doesn't bypass a route") {
    CHECK(NameOf(table.Match("x", "/%61pi/x", "GET")) == "api");
  }
  SUBCASE("a model belongs to the first service that declares it") {
    CHECK(table.ServiceOfModel({"m2"})->name.value == "desk");
    CHECK_FALSE(table.ServiceOfModel({"m3"}).has_value());
    CHECK(table.FindService({"bench"}).has_value());
  }
}

namespace {

// Derives up to three segments, `a` or `ab`, from the bits of a number.
std::vector<bool> LettersOf(uint8_t bits) {
  std::vector<bool> letters(bits % 4);
  for (size_t i = 0; i < letters.size(); ++i) {
    letters[i] = ((bits >> (2 + i)) & 1) != 0;
  }
  return letters;
}

std::string PathOf(const std::vector<bool>& letters) {
  std::string path;
  for (const bool letter : letters) {
    path += letter ? "/a" : "/ab";
  }
  return path.empty() ? "/" : path;
}

}  // namespace

TEST_CASE("RouteTable agrees with a linear search over all routes") {
  CHECK(rc::check(
      "the most specific matching route is found",
      [](const std::vector<std::pair<bool, uint8_t>>& shapes,
         uint8_t request_bits, bool named_host) {
        const std::vector<bool> request = LettersOf(request_bits);
        config::Declaration declaration;
        std::string expected;
        size_t best = 0;
        for (const auto& [exact, bits] : shapes) {
          const std::vector<bool> letters = LettersOf(bits);
          const std::string name =
              "r" + std::to_string(declaration.routes.size());
          declaration.routes.push_back(
              MakeRoute(name, exact ? "h" : "", PathOf(letters)));
          const bool matches =
              (!exact || named_host) && letters.size() <= request.size() &&
              std::equal(letters.begin(), letters.end(), request.begin());
          const size_t rank = (exact ? 1000U : 1U) + letters.size();
          if (matches && rank > best) {
            best = rank;
            expected = name;
          }
        }
        const RouteTable table(declaration);
        RC_ASSERT(NameOf(table.Match(named_host ? "h" : "g", PathOf(request),
                                     "GET")) == expected);
      }));
}

TEST_CASE("MayRepeat") {
  config::Route route;
  CHECK(MayRepeat(route, "PUT"));
  CHECK_FALSE(MayRepeat(route, "POST"));
  CHECK_FALSE(MayRepeat(route, "PATCH"));
  route.repeat = config::Repeat::kAlways;
  CHECK(MayRepeat(route, "POST"));
  route.repeat = config::Repeat::kNever;
  CHECK_FALSE(MayRepeat(route, "GET"));
}

}  // namespace carawayvalve::core
