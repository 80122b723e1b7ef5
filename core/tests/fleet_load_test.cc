#include "carawayvalve/core/fleet_load.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using std::chrono::seconds;

TEST_CASE("AffectsPlacement") {
  const base::BackendServerId engine{"a"};

  SUBCASE("is true when an engine got a prompt to prefill") {
    CHECK(AffectsPlacement({}, {{engine, {1, 3700, 17000}}}));
  }
  SUBCASE("is true when an engine has prefilled its prompt") {
    CHECK(AffectsPlacement({{engine, {1, 3700, 17000}}},
                           {{engine, {1, 0, 17000}}}));
    CHECK(AffectsPlacement({{engine, {1, 3700, 17000}}}, {}));
  }
  SUBCASE("is true when a plain service got another request") {
    CHECK(AffectsPlacement({{engine, {1, 0, 0}}}, {{engine, {2, 0, 0}}}));
  }
  SUBCASE("is false for negligible prefills and for running streams") {
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

  SUBCASE("counts a sent request until it has ended") {
    CHECK(load.LoadOf(engine, now) == BackendLoad{1, 500, 700});
    load.NotePrefilled(ticket);
    CHECK(load.LoadOf(engine, now) == BackendLoad{1, 0, 700});
    load.NoteEnded(ticket);
    CHECK(load.LoadOf(engine, now) == BackendLoad{});
    CHECK(load.own().empty());

    SUBCASE("an end that is recorded twice counts once") {
      load.NoteEnded(ticket);
      CHECK(load.LoadOf(engine, now) == BackendLoad{});
    }
  }
  SUBCASE("adds the load in flight from peers") {
    load.NotePeer({"p"}, {{engine, {2, 100, 300}}}, now);
    CHECK(load.LoadOf(engine, now) == BackendLoad{3, 600, 1000});

    SUBCASE("as last reported") {
      load.NotePeer({"p"}, {}, now);
      CHECK(load.LoadOf(engine, now) == BackendLoad{1, 500, 700});
    }
    SUBCASE("until the report expires") {
      CHECK(load.LoadOf(engine, now + seconds(3)) == BackendLoad{1, 500, 700});
    }
  }
}

}  // namespace carawayvalve::core
