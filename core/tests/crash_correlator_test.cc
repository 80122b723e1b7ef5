#include "carawayvalve/core/crash_correlator.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using std::chrono::seconds;

namespace {

const Instant kBroken = Instant() + seconds(100);

BrokenRequest RequestOf(const std::string& content_digest) {
  return {{"request of " + content_digest},
          {content_digest, {"m/part"}},
          2,
          7,
          kBroken};
}

}  // namespace

TEST_CASE("CrashCorrelator") {
  const Instant start = kBroken;
  CrashCorrelator correlator;
  correlator.NoteBrokenAnswer({"a"}, RequestOf("digest"));

  SUBCASE("a broken answer of another backend server doesn't count") {
    CHECK(correlator.TakeRunningRequests({"b"}, start).empty());
  }
  SUBCASE("requests running shortly before a crash are returned") {
    correlator.NoteBrokenAnswer({"a"}, RequestOf("other"));
    correlator.NoteBrokenAnswer({"a"}, RequestOf("digest"));
    CHECK(correlator.TakeRunningRequests({"a"}, start + seconds(1)) ==
          std::vector<BrokenRequest>{RequestOf("digest"), RequestOf("other")});

    SUBCASE("only once") {
      CHECK(correlator.TakeRunningRequests({"a"}, start + seconds(1)).empty());
    }
  }
  SUBCASE("answers that broke long before a crash don't count") {
    CHECK(correlator.TakeRunningRequests({"a"}, start + seconds(5)).empty());
  }
}

}  // namespace carawayvalve::core
