#include "carawayvalve/core/retry_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;

TEST_CASE("RetryBudget") {
  const Instant now;
  RetryBudget budget(
      {.retries_per_thousand = 100, .floor_per_second = 1, .max_saved = 2},
      now);

  SUBCASE("starts with the maximum saved") {
    CHECK(budget.TrySpend(now));
    CHECK(budget.TrySpend(now));
    CHECK_FALSE(budget.TrySpend(now));

    SUBCASE("ten requests earn a retry") {
      for (int i = 0; i < 9; ++i) {
        budget.NoteRequest();
      }
      CHECK_FALSE(budget.TrySpend(now));
      budget.NoteRequest();
      CHECK(budget.TrySpend(now));
      CHECK_FALSE(budget.TrySpend(now));
    }
    SUBCASE("a second earns a retry, in any number of steps") {
      for (int i = 1; i < 10; ++i) {
        CHECK_FALSE(budget.TrySpend(now + Milliseconds(100 * i)));
      }
      CHECK(budget.TrySpend(now + Milliseconds(1000)));
    }
  }
}

TEST_CASE("RetryBudget holds over any span of time") {
  CHECK(rc::check(
      "retries stay within the share, the floor and the saved ones",
      [](const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
        const RetryBudget::Settings settings{
            .retries_per_thousand = 250, .floor_per_second = 3, .max_saved = 4};
        Instant now;
        RetryBudget budget(settings, now);
        int64_t requests = 0;
        int64_t retries = 0;
        for (const auto& [kind, number] : steps) {
          if (kind % 3 == 0) {
            now += Milliseconds(number);
          } else if (kind % 3 == 1) {
            budget.NoteRequest();
            ++requests;
          } else {
            retries += budget.TrySpend(now) ? 1 : 0;
          }
          const int64_t passed_ms = base::ToMilliseconds(now - Instant());
          RC_ASSERT(retries * 1000 <=
                    requests * settings.retries_per_thousand +
                        passed_ms * settings.floor_per_second +
                        settings.max_saved * 1000);
        }
      }));
}

}  // namespace carawayvalve::core
