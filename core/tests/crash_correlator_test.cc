#include "carawayvalve/core/crash_correlator.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using std::chrono::seconds;

TEST_CASE("CrashEvidence") {
  const Instant start = Instant() + seconds(100);
  CrashCorrelator evidence;
  evidence.NoteBrokenAnswer({"a"}, "digest", start);

  SUBCASE("a broken answer of one that lives on accuses nobody") {
    CHECK(evidence.TakeRunningContents({"b"}, start).empty());
  }
  SUBCASE("one that is down shortly after died of what it ran") {
    evidence.NoteBrokenAnswer({"a"}, "other", start);
    evidence.NoteBrokenAnswer({"a"}, "digest", start);
    CHECK(evidence.TakeRunningContents({"a"}, start + seconds(1)) ==
          std::vector<std::string>{"digest", "other"});

    SUBCASE("which is told once") {
      CHECK(evidence.TakeRunningContents({"a"}, start + seconds(1)).empty());
    }
  }
  SUBCASE("one that is down much later died of something else") {
    CHECK(evidence.TakeRunningContents({"a"}, start + seconds(5)).empty());
  }
}

}  // namespace carawayvalve::core
