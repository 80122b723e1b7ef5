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

  SUBCASE("an unknown backend server is usable at full speed") {
    CHECK(health.Usable(id, 0, start));
    CHECK(health.Slowness(id, start) == 1);
    CHECK(health.FailureRate(id, start) == 0);
  }
  SUBCASE("a single failure causes no pause") {
    health.NoteFailure(id, start);
    CHECK(health.Usable(id, 0, start));
    CHECK(health.FailureRate(id, start) > 0);

    SUBCASE("a second consecutive failure causes a pause") {
      health.NoteFailure(id, start);
      CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(499)));
      CHECK(health.Usable(id, 0, start + Milliseconds(500)));

      SUBCASE("each further failure doubles the pause up to the limit") {
        health.NoteFailure(id, start);
        CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(999)));
        for (int i = 0; i < 20; ++i) {
          health.NoteFailure(id, start);
        }
        CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(3999)));
        CHECK(health.Usable(id, 0, start + seconds(4)));
      }
      SUBCASE("a single request is allowed after the pause") {
        CHECK(health.Usable(id, 0, start + Milliseconds(500)));
        CHECK_FALSE(health.Usable(id, 1, start + Milliseconds(500)));
      }
      SUBCASE("an answer ends the pause") {
        health.NoteAnswer(id, Milliseconds(50), Milliseconds(50), start);
        CHECK(health.Usable(id, 7, start));
      }
    }
    SUBCASE("an answer between two failures resets the count") {
      health.NoteAnswer(id, Milliseconds(50), Milliseconds(50), start);
      health.NoteFailure(id, start);
      CHECK(health.Usable(id, 0, start));
    }
  }
  SUBCASE("one whose address another has is paused at once") {
    health.NoteMisdirected(id, start);
    CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(499)));
    CHECK(health.Usable(id, 0, start + Milliseconds(500)));
    CHECK_FALSE(health.Usable(id, 1, start + Milliseconds(500)));
    CHECK(health.FailureRate(id, start) == 0);

    SUBCASE("for longer each time") {
      health.NoteMisdirected(id, start);
      CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(999)));
      CHECK(health.Usable(id, 0, start + seconds(1)));
    }
    SUBCASE("until it answers") {
      health.NoteAnswer(id, Milliseconds(50), Milliseconds(50), start);
      CHECK(health.Usable(id, 7, start));
    }
    SUBCASE("until its role changes") {
      health.NoteRoleChangeDone(id);
      CHECK(health.Usable(id, 7, start));
    }
  }
  SUBCASE("a pause after failures goes on") {
    for (int i = 0; i < 3; ++i) {
      health.NoteUnreachable(id, start);
    }
    health.NoteMisdirected(id, start);
    CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(1999)));

    SUBCASE("though the role changes") {
      health.NoteRoleChangeDone(id);
      CHECK_FALSE(health.Usable(id, 0, start + Milliseconds(1999)));
      CHECK(health.Usable(id, 0, start + seconds(2)));
    }
  }
  SUBCASE("an unreachable backend server is paused at once") {
    health.NoteUnreachable(id, start);
    CHECK_FALSE(health.Usable(id, 0, start));
  }
  SUBCASE("a few slow answers raise the slowness") {
    for (int i = 0; i < 5; ++i) {
      health.NoteAnswer(id, Milliseconds(300), Milliseconds(60), start);
    }
    CHECK(health.Slowness(id, start) > 3);

    SUBCASE("slowness decays over time") {
      CHECK(health.Slowness(id, start + seconds(15)) < 1.2);
    }
    SUBCASE("a restart resets the slowness") {
      health.Forget(id);
      CHECK(health.Slowness(id, start) == 1);
    }
  }
}

// Guards against gateways that send requests to an engine which another gateway
// has ordered to change its role, and stop only after two were declined.
TEST_CASE("an engine gets no requests while its role changes") {
  BackendHealth health(BackendHealth::Settings{});
  const base::BackendServerId engine{"engine"};
  const base::Instant now = base::Instant() + std::chrono::seconds(100);
  health.NoteRoleChangeStarted(engine, now + std::chrono::seconds(4));
  CHECK_FALSE(health.Usable(engine, 0, now));

  SUBCASE("also after it answered a request begun before") {
    health.NoteAnswer(engine, {}, {}, now);
    CHECK_FALSE(health.Usable(engine, 0, now));
  }
  SUBCASE("until the change of role is complete") {
    health.NoteRoleChangeDone(engine);
    CHECK(health.Usable(engine, 0, now));
  }
  SUBCASE("until the expected end of the change has passed") {
    CHECK(health.Usable(engine, 0, now + std::chrono::seconds(4)));
  }
}

// A full backend server answers 503 with Retry-After: 2.
TEST_CASE("a backend server asks to be left alone") {
  BackendHealth health(BackendHealth::Settings{});
  const base::BackendServerId id{"full"};
  const Instant now = Instant() + seconds(100);
  const Instant until = now + seconds(2);
  health.NoteAskedToWait(id, until);

  SUBCASE("it gets nothing until then") {
    CHECK(health.AskedToWait(id, until - Milliseconds(1)));
    CHECK_FALSE(health.Usable(id, 0, until - Milliseconds(1)));
    CHECK_FALSE(health.AskedToWait(id, until));
    CHECK(health.Usable(id, 0, until));
  }
  SUBCASE("an answer that was under way doesn't shorten that") {
    health.NoteAnswer(id, Milliseconds(50), Milliseconds(50), now);
    CHECK_FALSE(health.Usable(id, 0, now));
    CHECK_FALSE(health.Usable(id, 1, until));
  }
  SUBCASE("a shorter time that it names later doesn't either") {
    health.NoteAskedToWait(id, now + seconds(1));
    CHECK(health.AskedToWait(id, now + seconds(1)));
  }
  SUBCASE("it doesn't count as ill") {
    CHECK(health.FailureRate(id, until) == 0);
    CHECK(health.Slowness(id, until) == 1);
  }
  SUBCASE("afterwards requests return one by one") {
    CHECK(health.Usable(id, 0, until));
    CHECK_FALSE(health.Usable(id, 1, until));
    health.NoteAnswer(id, Milliseconds(50), Milliseconds(50), until);
    CHECK(health.Usable(id, 1, until));
    CHECK_FALSE(health.Usable(id, 2, until));
    for (int answers = 0; answers < 3; ++answers) {
      health.NoteAnswer(id, Milliseconds(50), Milliseconds(50), until);
    }
    CHECK(health.Usable(id, 100, until));
  }
  SUBCASE("a restart ends it") {
    health.Forget(id);
    CHECK(health.Usable(id, 7, now));
  }
}

}  // namespace carawayvalve::core
