#include "carawayvalve/core/silence_detector.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;

TEST_CASE("SilenceDetector") {
  const Instant start = Instant() + std::chrono::seconds(100);
  const base::BackendServerId id{"a"};
  SilenceDetector detector;
  const auto ticket = detector.NoteSent(id, Milliseconds(400), start);

  SUBCASE("a backend server is silent after the timeout") {
    CHECK_FALSE(detector.IsSilent(id, start + Milliseconds(400)));
    CHECK(detector.IsSilent(id, start + Milliseconds(401)));

    SUBCASE("until something is received") {
      detector.NoteReceived(id, start + Milliseconds(500));
      CHECK_FALSE(detector.IsSilent(id, start + Milliseconds(800)));
      CHECK(detector.IsSilent(id, start + Milliseconds(901)));
    }
    SUBCASE("until no request is pending") {
      detector.NoteEnded(id, ticket);
      CHECK_FALSE(detector.IsSilent(id, start + Milliseconds(401)));
    }
  }
  SUBCASE("data for another request counts as well") {
    const auto other =
        detector.NoteSent(id, Milliseconds(400), start + Milliseconds(200));
    detector.NoteReceived(id, start + Milliseconds(300));
    detector.NoteEnded(id, other);
    CHECK_FALSE(detector.IsSilent(id, start + Milliseconds(700)));
    CHECK(detector.IsSilent(id, start + Milliseconds(701)));
  }
  SUBCASE("the timeout of a started stream can be shortened") {
    detector.NoteReceived(id, start + Milliseconds(100));
    detector.SetTimeout(id, ticket, Milliseconds(150));
    CHECK(detector.IsSilent(id, start + Milliseconds(251)));
  }
}

}  // namespace carawayvalve::core
