#include "carawayvalve/core/store_outage.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("StoreOutage") {
  const Instant start = Instant() + seconds(100);
  StoreOutage outage({.grace_period = seconds(2), .min_outage = seconds(1)});
  const auto cut_off = [&](Instant at) {
    outage.NoteUnanswered({at - seconds(20), true}, at - seconds(20), at);
  };
  const auto refuse = [&](Instant at, Instant last_known) {
    outage.NoteUnanswered({at, false}, last_known, at);
  };
  CHECK_FALSE(outage.MayHaveExpired(start));

  // Guards against an outage made of calls that are cut off (issue 67).
  SUBCASE("doesn't take calls that are cut off for one, however many") {
    for (int i = 0; i < 20; ++i) {
      cut_off(start + Milliseconds(500 * i));
      CHECK(outage.MayHaveExpired(start + Milliseconds(500 * i)));
      outage.NoteAnswer(start + Milliseconds(500 * i + 100));
      CHECK_FALSE(outage.MayHaveExpired(start + Milliseconds(500 * i + 100)));
    }
  }
  SUBCASE("takes calls that fail for a second for one") {
    cut_off(start);
    cut_off(start + Milliseconds(900));
    outage.NoteAnswer(start + seconds(1));
    CHECK(outage.MayHaveExpired(start + Milliseconds(2999)));
    CHECK_FALSE(outage.MayHaveExpired(start + seconds(3)));

    SUBCASE("that begins at the first one") {
      cut_off(start + seconds(10));
      outage.NoteAnswer(start + Milliseconds(10999));
      CHECK_FALSE(outage.MayHaveExpired(start + Milliseconds(10999)));
    }
    SUBCASE("whose grace period a call that is cut off leaves as it is") {
      cut_off(start + seconds(2));
      outage.NoteAnswer(start + Milliseconds(2100));
      CHECK(outage.MayHaveExpired(start + Milliseconds(2999)));
      CHECK_FALSE(outage.MayHaveExpired(start + seconds(3)));
    }
  }
  SUBCASE("doesn't take a single call that is refused for one") {
    refuse(start, start - seconds(3));
    outage.NoteAnswer(start + Milliseconds(100));
    CHECK_FALSE(outage.MayHaveExpired(start + Milliseconds(100)));
  }
  SUBCASE("may have begun long before calls that fail one after the other") {
    refuse(start, start - seconds(3));
    refuse(start + Milliseconds(100), start - seconds(3));
    outage.NoteAnswer(start + Milliseconds(300));
    CHECK(outage.MayHaveExpired(start + Milliseconds(2299)));
    CHECK_FALSE(outage.MayHaveExpired(start + Milliseconds(2300)));
  }
  SUBCASE("began no earlier than a watch that was cut off") {
    cut_off(start);
    refuse(start + Milliseconds(100), start - seconds(3));
    outage.NoteAnswer(start + Milliseconds(300));
    CHECK_FALSE(outage.MayHaveExpired(start + Milliseconds(300)));
  }
  SUBCASE("takes a call that takes as long for one") {
    outage.NoteUnanswered({start - seconds(1), false}, start - seconds(1),
                          start);
    outage.NoteAnswer(start + Milliseconds(50));
    CHECK(outage.MayHaveExpired(start + Milliseconds(50)));
  }
  SUBCASE("lasts until the store answers") {
    cut_off(start);
    CHECK(outage.MayHaveExpired(start + seconds(60)));
    outage.NoteAnswer(start + seconds(60));
    CHECK(outage.MayHaveExpired(start + Milliseconds(61999)));
    CHECK_FALSE(outage.MayHaveExpired(start + seconds(62)));
  }
  SUBCASE("ends as the store is known to have come back") {
    outage.NoteReturn(start);
    CHECK(outage.MayHaveExpired(start + Milliseconds(1999)));
    CHECK_FALSE(outage.MayHaveExpired(start + seconds(2)));
  }
}

}  // namespace carawayvalve::core
