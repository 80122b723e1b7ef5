#include "carawayvalve/core/wall_clock_estimator.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Duration;
using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("TrueTime") {
  const Instant start = Instant() + seconds(100);
  WallClockEstimator time;
  time.RecordOwnTime(seconds(5000), start);

  SUBCASE("goes on with this host's clock") {
    CHECK(time.At(start + seconds(3)) == Duration(seconds(5003)));
  }
  SUBCASE("isn't moved by a step of the time of day") {
    time.RecordOwnTime(seconds(5001) + seconds(30), start + seconds(1));
    CHECK(time.At(start + seconds(1)) == Duration(seconds(5001)));
  }
  SUBCASE("a process that starts during a step is outvoted by its peers") {
    time.RecordPeerTime({"a"}, seconds(5002), start);
    CHECK(time.At(start) == Duration(seconds(5000)));
    time.RecordPeerTime({"b"}, seconds(5002) + Milliseconds(1), start);
    CHECK(time.At(start) == Duration(seconds(5002)));

    SUBCASE("as long as they are heard") {
      CHECK(time.At(start + seconds(20)) == Duration(seconds(5020)));
    }
  }
}

}  // namespace carawayvalve::core
