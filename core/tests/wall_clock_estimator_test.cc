#include "carawayvalve/core/wall_clock_estimator.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Duration;
using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("WallClockEstimator") {
  const Instant start = Instant() + seconds(100);
  WallClockEstimator time;
  time.RecordOwnTime(seconds(5000), start);

  SUBCASE("advances with this host's monotonic clock") {
    CHECK(time.At(start + seconds(3)) == Duration(seconds(5003)));
  }
  SUBCASE("ignores a step of the own wall clock") {
    time.RecordOwnTime(seconds(5001) + seconds(30), start + seconds(1));
    CHECK(time.At(start + seconds(1)) == Duration(seconds(5001)));
  }
  SUBCASE("a wrong own clock is outvoted by two peers") {
    time.RecordPeerTime({"a"}, seconds(5002), start);
    CHECK(time.At(start) == Duration(seconds(5000)));
    time.RecordPeerTime({"b"}, seconds(5002) + Milliseconds(1), start);
    CHECK(time.At(start) == Duration(seconds(5002)));

    SUBCASE("until the peers' offsets expire") {
      CHECK(time.At(start + seconds(20)) == Duration(seconds(5020)));
    }
  }
}

}  // namespace carawayvalve::core
