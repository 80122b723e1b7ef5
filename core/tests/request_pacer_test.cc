#include "carawayvalve/core/request_pacer.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

namespace {

constexpr Instant kStart = Instant() + seconds(100);

// Sends whenever the pacer allows it, at most each millisecond. Returns how
// many requests were sent.
int64_t SendAll(RequestPacer& pacer, Instant from, base::Duration time) {
  int64_t sent = 0;
  for (Instant now = from; now < from + time; now += Milliseconds(1)) {
    if (pacer.MaySend(now)) {
      pacer.NoteSent(now);
      ++sent;
    }
  }
  return sent;
}

}  // namespace

TEST_CASE("RequestPacer") {
  RequestPacer pacer;

  SUBCASE("allows everything without a rate") {
    CHECK(SendAll(pacer, kStart, seconds(1)) == 1000);
  }
  SUBCASE("keeps to its rate") {
    pacer.SetRate(5, kStart);
    CHECK(SendAll(pacer, kStart, seconds(10)) == 49);

    SUBCASE("without saving up what wasn't used") {
      CHECK(SendAll(pacer, kStart + seconds(60), seconds(2)) == 10);
    }
    SUBCASE("and to a changed one at once") {
      pacer.SetRate(50, kStart + seconds(10));
      CHECK(SendAll(pacer, kStart + seconds(10), seconds(2)) >= 98);
    }
    SUBCASE("until it is lifted") {
      pacer.SetRate(std::nullopt, kStart + seconds(10));
      CHECK(SendAll(pacer, kStart + seconds(10), seconds(1)) == 1000);
    }
  }
  SUBCASE("pauses after a burst, for a limited time") {
    SendAll(pacer, kStart - seconds(1), seconds(1));
    pacer.SetRate(5, kStart);
    CHECK(SendAll(pacer, kStart, Milliseconds(1500)) == 0);
    CHECK(SendAll(pacer, kStart + Milliseconds(1500), seconds(1)) == 5);
  }
  SUBCASE("doesn't pause if it was slower than the rate") {
    pacer.NoteSent(kStart - Milliseconds(300));
    pacer.SetRate(5, kStart);
    CHECK(pacer.next_send() == kStart + Milliseconds(200));
  }
  SUBCASE("knows when a request is due that others precede") {
    pacer.SetRate(5, kStart);
    CHECK(pacer.SendTimeBehind(3, kStart) == kStart + Milliseconds(800));
  }
}

}  // namespace carawayvalve::core
