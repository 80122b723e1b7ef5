#include "carawayvalve/config/patch.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "carawayvalve/base/error.h"
#include "carawayvalve/config/canonical.h"
#include "generators.h"

namespace carawayvalve::config {

TEST_CASE("a patch turns one configuration into another") {
  CHECK(rc::check("for any two configurations", [] {
    const Configuration from = Canonical(DrawConfiguration());
    const Configuration to = Canonical(DrawConfiguration());
    RC_ASSERT(ApplyPatch(from, PatchBetween(from, to)) == to);
  }));

  SUBCASE("given a thousand keys, adding one makes a small patch") {
    Configuration from;
    from.declaration.client_accounts.push_back({.name = {"north"}});
    for (int i = 0; i < 1000; ++i) {
      from.keys.push_back(
          {base::Sha256(std::to_string(i)), {"north"}, std::to_string(i)});
    }
    from = Canonical(from);
    Configuration to = from;
    to.generation += 1;
    to.keys.push_back({base::Sha256("one more"), {"north"}, "one more"});
    to = Canonical(to);
    const std::string patch = PatchBetween(from, to);
    CHECK(patch.size() < 1000);
    CHECK(ApplyPatch(from, patch) == to);

    SUBCASE("which is rejected for another base configuration") {
      Configuration other = from;
      other.keys.pop_back();
      CHECK_THROWS_AS(ApplyPatch(other, patch), base::Error);
    }
  }

  SUBCASE("a malformed patch is rejected") {
    CHECK_THROWS_AS(ApplyPatch({}, "{"), base::Error);
    CHECK_THROWS_AS(ApplyPatch({}, "[]"), base::Error);
  }
  SUBCASE("a patch whose values would exhaust the stack is rejected") {
    std::string deep(1000000, '[');
    deep.append(deep.size(), ']');
    CHECK_THROWS_AS(ApplyPatch({}, R"({"digest":"","operations":[{"op":"add",)"
                                   R"("path":"/other","value":)" +
                                       deep + "}]}"),
                    base::Error);
  }
}

}  // namespace carawayvalve::config
