#include "commands/key_changes.h"

#include <doctest/doctest.h>

#include "carawayvalve/base/error.h"

namespace carawayvalve::entry::commands {

using config::Configuration;
using config::Key;

TEST_CASE("keys in the configuration") {
  const Key north{"d1", {"guild-north"}, "bench"};
  const Key south{"d2", {"guild-south"}, "bench"};
  Configuration empty;
  empty.declaration.client_accounts = {{{"guild-north"}}, {{"guild-south"}}};

  SUBCASE("a generated key has 256 bits and is unique") {
    constexpr size_t kHexDigits = 64;
    CHECK(GenerateKey().size() == std::string("cvk_").size() + kHexDigits);
    CHECK(GenerateKey().starts_with("cvk_"));
    CHECK(GenerateKey() != GenerateKey());
  }

  SUBCASE("a key of an account that isn't declared is refused") {
    CHECK_THROWS_WITH_AS(WithKey(empty, {"d3", {"guild-west"}, "bench"}),
                         doctest::Contains("no client account"), base::Error);
  }

  SUBCASE("once granted") {
    const Configuration granted = WithKey(WithKey(empty, north), south);
    CHECK(granted.keys == std::vector<Key>{north, south});

    SUBCASE("it is added only once, also when retried after a lost answer") {
      CHECK(WithKey(granted, north) == granted);
    }
    SUBCASE("its label can't be used again in its account") {
      CHECK_THROWS_WITH_AS(WithKey(granted, {"d3", {"guild-north"}, "bench"}),
                           doctest::Contains("\"bench\" already"), base::Error);
    }
    SUBCASE("it is selected by its digest or by label and account") {
      CHECK(SelectKey(granted.keys, {.sha256 = "d2"}) == south);
      CHECK(SelectKey(granted.keys, {.label = "bench",
                                     .client_account = {{"guild-north"}}}) ==
            north);
    }
    SUBCASE("a label of two accounts selects no key") {
      CHECK_THROWS_WITH_AS(SelectKey(granted.keys, {.label = "bench"}),
                           doctest::Contains("--sha256=d2"), base::Error);
    }
    SUBCASE("an unknown label selects no key") {
      CHECK_THROWS_AS(SelectKey(granted.keys, {.label = "gate"}), base::Error);
    }
    SUBCASE("withdrawing it keeps other keys and is idempotent") {
      const Configuration withdrawn = WithoutKey(granted, north);
      CHECK(withdrawn.keys == std::vector<Key>{south});
      CHECK(WithoutKey(withdrawn, north) == withdrawn);
    }
  }
}

}  // namespace carawayvalve::entry::commands
