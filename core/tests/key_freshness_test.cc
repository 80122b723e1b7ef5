#include "carawayvalve/core/key_freshness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace carawayvalve::core {

using base::Duration;
using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("Freshness") {
  const Instant start = Instant() + seconds(100);
  KeyFreshness freshness(seconds(5), Milliseconds(400));

  SUBCASE("accepts no key before the store has answered") {
    CHECK_FALSE(freshness.MayAcceptKeys(start));
    CHECK_FALSE(freshness.Age(start).has_value());
  }
  SUBCASE("an answer of the store") {
    freshness.NoteStoreAnswer(start);

    SUBCASE("counts from when it was asked for, less the margin") {
      CHECK(freshness.MayAcceptKeys(start + Milliseconds(4599)));
      CHECK_FALSE(freshness.MayAcceptKeys(start + Milliseconds(4600)));
      CHECK(freshness.Age(start + seconds(2)) == Duration(seconds(2)));
    }
    SUBCASE("isn't undone by one that was asked for earlier") {
      freshness.NoteStoreAnswer(start - seconds(3));
      CHECK(freshness.Age(start) == Duration(0));
    }
    SUBCASE("is extended by a peer's newer proof") {
      freshness.NotePeerAnswer(start + seconds(4), seconds(1));
      CHECK(freshness.Age(start + seconds(4)) == Duration(seconds(1)));
    }
    SUBCASE("isn't extended by a peer's word that was long under way") {
      // Asked before a pause of ten seconds, and read after it.
      freshness.NotePeerAnswer(start, seconds(1));
      CHECK_FALSE(freshness.MayAcceptKeys(start + seconds(10)));
    }
  }
}

// Two processes, one of which the store turns away at times; answers take any
// time, processes pause, and keys are withdrawn at any moment.
TEST_CASE("no interleaving accepts a key after the bound") {
  CHECK(rc::check("withdrawal is known in time, or keys are refused", [] {
    const Duration bound = seconds(5);
    KeyFreshness own(bound, Milliseconds(400));
    KeyFreshness peer(bound, Milliseconds(400));
    Instant now = Instant() + seconds(1000);
    bool withdrawn = false;
    Instant withdrawn_at;
    // What each of the two processes has been told.
    bool own_knows = false;
    bool peer_knows = false;
    Instant own_asked_peer = now;
    const auto steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6));
    for (const int step : steps) {
      const auto wait = Milliseconds(*rc::gen::inRange(0, 2500));
      if (step == 0 && !withdrawn) {
        withdrawn = true;
        withdrawn_at = now;
      } else if (step == 1) {
        // The store answers the peer after a while with what it had at once.
        const Instant asked = now;
        const bool told = withdrawn;
        now += wait;
        peer_knows = peer_knows || told;
        peer.NoteStoreAnswer(asked);
      } else if (step == 2) {
        const Instant asked = now;
        const bool told = withdrawn;
        now += wait;
        own_knows = own_knows || told;
        own.NoteStoreAnswer(asked);
      } else if (step == 3) {
        own_asked_peer = now;
      } else if (step == 4) {
        // The peer's word takes a while, in which this process may pause.
        const auto age = peer.Age(now);
        const bool same = peer_knows == own_knows;
        now += wait;
        if (age.has_value() && same) {
          own.NotePeerAnswer(own_asked_peer, *age);
        }
      } else {
        now += wait;
      }
      const bool too_late = withdrawn && now > withdrawn_at + bound;
      RC_ASSERT(!too_late || own_knows || !own.MayAcceptKeys(now));
    }
  }));
}

}  // namespace carawayvalve::core
