#include "carawayvalve/core/crash_correlator.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using std::chrono::seconds;

TEST_CASE("CrashCorrelator") {
  const Instant start = Instant() + seconds(100);
  CrashCorrelator correlator;
  correlator.NoteBrokenAnswer({"a"}, "digest", start);

  SUBCASE("a broken answer of another backend server doesn't count") {
    CHECK(correlator.TakeRunningContents({"b"}, start).empty());
  }
  SUBCASE("contents running shortly before a crash are returned") {
    correlator.NoteBrokenAnswer({"a"}, "other", start);
    correlator.NoteBrokenAnswer({"a"}, "digest", start);
    CHECK(correlator.TakeRunningContents({"a"}, start + seconds(1)) ==
          std::vector<std::string>{"digest", "other"});

    SUBCASE("only once") {
      CHECK(correlator.TakeRunningContents({"a"}, start + seconds(1)).empty());
    }
  }
  SUBCASE("answers that broke long before a crash don't count") {
    CHECK(correlator.TakeRunningContents({"a"}, start + seconds(5)).empty());
  }
}

}  // namespace carawayvalve::core
