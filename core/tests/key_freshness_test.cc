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

TEST_CASE("KeyFreshness") {
  const Instant start = Instant() + seconds(100);
  KeyFreshness freshness(seconds(5), Milliseconds(400));

  SUBCASE("no key is accepted before the store has answered") {
    CHECK_FALSE(freshness.MayAcceptKeys(start));
    CHECK_FALSE(freshness.Age(start).has_value());
  }
  SUBCASE("an answer of the store") {
    freshness.NoteStoreAnswer(start);

    SUBCASE("counts from when the request was sent, less the margin") {
      CHECK(freshness.MayAcceptKeys(start + Milliseconds(4599)));
      CHECK_FALSE(freshness.MayAcceptKeys(start + Milliseconds(4600)));
      CHECK(freshness.Age(start + seconds(2)) == Duration(seconds(2)));
    }
    SUBCASE("isn't undone by the answer to an earlier request") {
      freshness.NoteStoreAnswer(start - seconds(3));
      CHECK(freshness.Age(start) == Duration(0));
    }
    SUBCASE("is extended by a peer's newer confirmation") {
      freshness.NotePeerAnswer(start + seconds(4), seconds(1));
      CHECK(freshness.Age(start + seconds(4)) == Duration(seconds(1)));
    }
    SUBCASE("isn't extended by a peer's answer delayed in transit") {
      // Sent before a pause of ten seconds; the answer is read after it.
      freshness.NotePeerAnswer(start, seconds(1));
      CHECK_FALSE(freshness.MayAcceptKeys(start + seconds(10)));
    }
  }
}

// Two processes exchange answers with the store and with each other while
// answers are delayed, processes pause and a key is withdrawn at any moment.
TEST_CASE("no interleaving accepts a withdrawn key after the limit") {
  CHECK(rc::check("a withdrawal is known in time, or keys are refused", [] {
    const Duration bound = seconds(5);
    KeyFreshness own(bound, Milliseconds(400));
    KeyFreshness peer(bound, Milliseconds(400));
    Instant now = Instant() + seconds(1000);
    bool withdrawn = false;
    Instant withdrawn_at;
    // Whether each of the two processes knows of the withdrawal.
    bool own_knows = false;
    bool peer_knows = false;
    Instant own_request_sent = now;
    const auto steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6));
    for (const int step : steps) {
      const auto wait = Milliseconds(*rc::gen::inRange(0, 2500));
      if (step == 0 && !withdrawn) {
        withdrawn = true;
        withdrawn_at = now;
      } else if (step == 1) {
        // The delayed answer holds the store's state when the request was sent.
        const Instant sent_at = now;
        const bool had_withdrawal = withdrawn;
        now += wait;
        peer_knows = peer_knows || had_withdrawal;
        peer.NoteStoreAnswer(sent_at);
      } else if (step == 2) {
        const Instant sent_at = now;
        const bool had_withdrawal = withdrawn;
        now += wait;
        own_knows = own_knows || had_withdrawal;
        own.NoteStoreAnswer(sent_at);
      } else if (step == 3) {
        own_request_sent = now;
      } else if (step == 4) {
        // The peer's answer is delayed, or this process pauses meanwhile.
        const auto age = peer.Age(now);
        const bool same = peer_knows == own_knows;
        now += wait;
        if (age.has_value() && same) {
          own.NotePeerAnswer(own_request_sent, *age);
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
