#include "carawayvalve/core/expectation_correction.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("ExpectationCorrection") {
  const Instant now = Instant() + seconds(100);
  ExpectationCorrection correction;

  SUBCASE("without observations doubts that a request takes so long") {
    CHECK(correction.Correct(Milliseconds(200), now) == Milliseconds(100));
  }
  SUBCASE("follows the median of what was observed") {
    for (int i = 0; i < 15; ++i) {
      const Milliseconds actual(i % 5 == 0 ? 4000 : 140);
      correction.Note(Milliseconds(100), actual, now);
    }
    CHECK(correction.Factor(now) == doctest::Approx(1.4));

    SUBCASE("and forgets what is old") {
      CHECK(correction.Factor(now + seconds(7)) == doctest::Approx(0.5));
    }
  }
  SUBCASE("isn't led far astray") {
    for (int i = 0; i < 15; ++i) {
      correction.Note(Milliseconds(0), Milliseconds(5000), now);
    }
    CHECK(correction.Factor(now) == doctest::Approx(4));
  }
}

}  // namespace carawayvalve::core
