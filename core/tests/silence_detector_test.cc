#include "carawayvalve/core/silence_detector.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;

TEST_CASE("SilenceWatch") {
  const Instant start = Instant() + std::chrono::seconds(100);
  const base::BackendServerId id{"a"};
  SilenceDetector watch;
  const auto ticket = watch.NoteSent(id, Milliseconds(400), start);

  SUBCASE("a backend server is silent once its patience is over") {
    CHECK_FALSE(watch.IsSilent(id, start + Milliseconds(400)));
    CHECK(watch.IsSilent(id, start + Milliseconds(401)));

    SUBCASE("until something comes") {
      watch.NoteReceived(id, start + Milliseconds(500));
      CHECK_FALSE(watch.IsSilent(id, start + Milliseconds(800)));
      CHECK(watch.IsSilent(id, start + Milliseconds(901)));
    }
    SUBCASE("until nothing is awaited any more") {
      watch.NoteEnded(id, ticket);
      CHECK_FALSE(watch.IsSilent(id, start + Milliseconds(401)));
    }
  }
  SUBCASE("what comes for another request counts as well") {
    const auto other =
        watch.NoteSent(id, Milliseconds(400), start + Milliseconds(200));
    watch.NoteReceived(id, start + Milliseconds(300));
    watch.NoteEnded(id, other);
    CHECK_FALSE(watch.IsSilent(id, start + Milliseconds(700)));
    CHECK(watch.IsSilent(id, start + Milliseconds(701)));
  }
  SUBCASE("a stream that has begun may be awaited for less") {
    watch.NoteReceived(id, start + Milliseconds(100));
    watch.SetTimeout(id, ticket, Milliseconds(150));
    CHECK(watch.IsSilent(id, start + Milliseconds(251)));
  }
}

}  // namespace carawayvalve::core
