#include "carawayvalve/core/backend_health.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("BackendHealth") {
  const Instant start = Instant() + seconds(100);
  const base::BackendServerId id{"a"};
  BackendHealth health({});

  SUBCASE("takes an unknown backend server for sound") {
    CHECK(health.Usable(id, 0, start));
    CHECK(health.Slowness(id, start) == 1);
    CHECK(health.FailureRate(id, start) == 0);
  }
  SUBCASE("one failure alone pauses nothing") {
    health.NoteFailure(id, start);
    CHECK(health.Usable(id, 0, start));
    CHECK(health.FailureRate(id, start) > 0);

    SUBCASE("a second one in a row does") {
      health.NoteFailure(id, start);
      CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(499)));
      CHECK(health.Usable(id, 0, start + Milliseconds(500)));

      SUBCASE("and each further one for twice as long, up to a limit") {
        health.NoteFailure(id, start);
        CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(999)));
        for (int i = 0; i < 20; ++i) {
          health.NoteFailure(id, start);
        }
        CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(3999)));
        CHECK(health.Usable(id, 0, start + seconds(4)));
      }
      SUBCASE("and then one request alone is sent there") {
        CHECK(health.Usable(id, 0, start + Milliseconds(500)));
        CHECK_FALSE(health.Usable(id, 1, start + Milliseconds(500)));
      }
      SUBCASE("until it answers") {
        health.NoteAnswer(id, Milliseconds(50), Milliseconds(50), start);
        CHECK(health.Usable(id, 7, start));
      }
    }
    SUBCASE("not when it has answered in between") {
      health.NoteAnswer(id, Milliseconds(50), Milliseconds(50), start);
      health.NoteFailure(id, start);
      CHECK(health.Usable(id, 0, start));
    }
  }
  SUBCASE("one that can't be reached is paused at once") {
    health.NoteUnreachable(id, start);
    CHECK_FALSE(health.Usable(id, 0, start));
  }
  SUBCASE("one that turns slow is seen within a few answers") {
    for (int i = 0; i < 5; ++i) {
      health.NoteAnswer(id, Milliseconds(300), Milliseconds(60), start);
    }
    CHECK(health.Slowness(id, start) > 3);

    SUBCASE("and tried again as time goes by") {
      CHECK(health.Slowness(id, start + seconds(15)) < 1.2);
    }
    SUBCASE("and sound again after a restart") {
      health.Forget(id);
      CHECK(health.Slowness(id, start) == 1);
    }
  }
}

// In a grown fleet each gateway sent requests to an engine that another one had
// ordered to change its role, until two of its own had been declined.
TEST_CASE("an engine that changes its role gets no requests meanwhile") {
  BackendHealth health(BackendHealth::Settings{});
  const base::BackendServerId engine{"engine"};
  const base::Instant now = base::Instant() + std::chrono::seconds(100);
  health.NoteRoleChangeStarted(engine, now + std::chrono::seconds(4));
  CHECK_FALSE(health.Usable(engine, 0, now));

  SUBCASE("though what it had begun before is answered") {
    health.NoteAnswer(engine, {}, {}, now);
    CHECK_FALSE(health.Usable(engine, 0, now));
  }
  SUBCASE("and gets them again when it has the role") {
    health.NoteRoleChangeDone(engine);
    CHECK(health.Usable(engine, 0, now));
  }
  SUBCASE("or when that took too long") {
    CHECK(health.Usable(engine, 0, now + std::chrono::seconds(4)));
  }
}

}  // namespace carawayvalve::core
