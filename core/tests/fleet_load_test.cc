#include "carawayvalve/core/fleet_load.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using std::chrono::seconds;

TEST_CASE("peers are told of a change at once") {
  const base::BackendServerId engine{"a"};

  SUBCASE("when an engine has a prompt to read") {
    CHECK(AffectsPlacement({}, {{engine, {1, 3700, 17000}}}));
  }
  SUBCASE("when it has read it") {
    CHECK(AffectsPlacement({{engine, {1, 3700, 17000}}},
                           {{engine, {1, 0, 17000}}}));
    CHECK(AffectsPlacement({{engine, {1, 3700, 17000}}}, {}));
  }
  SUBCASE("when a plain service has another request") {
    CHECK(AffectsPlacement({{engine, {1, 0, 0}}}, {{engine, {2, 0, 0}}}));
  }
  SUBCASE("but not for what changes no placement") {
    CHECK_FALSE(AffectsPlacement({}, {}));
    CHECK_FALSE(AffectsPlacement({{engine, {1, 0, 17000}}},
                                 {{engine, {2, 100, 18000}}}));
    CHECK_FALSE(AffectsPlacement({{engine, {1, 0, 17000}}}, {}));
  }
}

TEST_CASE("FleetLoad") {
  const Instant now = Instant() + seconds(100);
  const base::BackendServerId engine{"a"};
  FleetLoad load;
  const auto ticket = load.NoteSent(engine, {1, 500, 700});

  SUBCASE("counts what was sent until it has ended") {
    CHECK(load.LoadOf(engine, now) == BackendLoad{1, 500, 700});
    load.NotePrefilled(ticket);
    CHECK(load.LoadOf(engine, now) == BackendLoad{1, 0, 700});
    load.NoteEnded(ticket);
    CHECK(load.LoadOf(engine, now) == BackendLoad{});
    CHECK(load.own().empty());

    SUBCASE("an end that is noted twice counts once") {
      load.NoteEnded(ticket);
      CHECK(load.LoadOf(engine, now) == BackendLoad{});
    }
  }
  SUBCASE("adds what peers have under way") {
    load.NotePeer({"p"}, {{engine, {2, 100, 300}}}, now);
    CHECK(load.LoadOf(engine, now) == BackendLoad{3, 600, 1000});

    SUBCASE("as they said last") {
      load.NotePeer({"p"}, {}, now);
      CHECK(load.LoadOf(engine, now) == BackendLoad{1, 500, 700});
    }
    SUBCASE("while they are heard") {
      CHECK(load.LoadOf(engine, now + seconds(3)) == BackendLoad{1, 500, 700});
    }
  }
}

}  // namespace carawayvalve::core
