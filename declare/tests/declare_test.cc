#include "carawayvalve/declare/declare.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <sstream>

#include "carawayvalve/config/canonical.h"
#include "carawayvalve/config/json.h"

namespace carawayvalve::declare {

TEST_CASE("a program prints its declaration") {
  std::ostringstream out;
  std::ostringstream err;
  Declaration declaration;
  declaration.client_accounts = {Account("north"), Account("south", 4)};
  declaration.services = {ModelService("bench-models", {"bench-7b"}),
                          PlainService("ticket-desk")};
  declaration.routes = {WithRepeat(
      KeyedRoute("desk", "/tickets", "ticket-desk"), config::Repeat::kNever)};

  SUBCASE("as JSON that parses back to it") {
    CHECK(Print(declaration, out, err) == 0);
    CHECK(config::ParseDeclaration(out.str(), "test") == declaration);
    CHECK(err.str().empty());
  }

  SUBCASE("or only its faults, if it has any") {
    declaration.routes.push_back(OpenRoute("other", "/other", "nowhere"));
    CHECK(Print(declaration, out, err) == kExitFaults);
    CHECK(out.str().empty());
    CHECK(err.str().find("/routes/1/service") != std::string::npos);
  }

  SUBCASE("with rate limits of accounts") {
    declaration.client_accounts = {
        WithRequestLimit(Account("north"), 0.5, 3),
        WithTokenLimit(Account("south"), 60000, 120000, 200)};
    REQUIRE(Print(declaration, out, err) == 0);
    CHECK(config::ParseDeclaration(out.str(), "test") == declaration);
  }
  SUBCASE("with backend servers and engines in their roles") {
    declaration.services[0] = WithTargetFirstAnswer(
        WithBackendServers(declaration.services[0], 5, 24), 500);
    declaration.engine_rules = {KeepEngines(EnginesOf("bench-models"), 2, 3)};
    REQUIRE(Print(declaration, out, err) == 0);
    const Declaration read = config::ParseDeclaration(out.str(), "test");
    CHECK(read.services[0].min_backend_servers == 5);
    CHECK(read.services[0].max_backend_servers == 24);
    CHECK(read.services[0].target_first_answer_ms == 500);
    CHECK(read.engine_rules[0].min_prefill_engines == 2);
    CHECK(read.engine_rules[0].min_decode_engines == 3);
  }
}

namespace {

// Generates a text that usually passes the checks.
std::string DrawText(const std::string& valid) {
  constexpr size_t kValidWeight = 19;
  return *rc::gen::weightedOneOf<std::string>(
      {{kValidWeight, rc::gen::just(valid)},
       {1, rc::gen::arbitrary<std::string>()}});
}

Declaration DrawDeclaration() {
  Declaration declaration;
  declaration.client_accounts = {
      Account(DrawText("guild"), *rc::gen::inRange(0, 9))};
  declaration.services = {
      ModelService(DrawText("bench-models"), {DrawText("bench-7b")})};
  declaration.routes = {
      WithMethods(KeyedRoute(DrawText("bench"), "/" + DrawText("v1"),
                             declaration.services[0].name.value),
                  {DrawText("POST")})};
  return declaration;
}

}  // namespace

TEST_CASE("a program prints what it declares, or faults") {
  CHECK(rc::check("the printed declaration is the declared one", [] {
    const Declaration declaration = DrawDeclaration();
    std::ostringstream out;
    std::ostringstream err;
    const int exit_code = Print(declaration, out, err);
    RC_CLASSIFY(exit_code == 0, "without faults");
    if (exit_code == 0) {
      RC_ASSERT(config::ParseDeclaration(out.str(), "test") ==
                config::Canonical(declaration));
    } else {
      RC_ASSERT(out.str().empty());
      RC_ASSERT(!err.str().empty());
    }
  }));
}

}  // namespace carawayvalve::declare
