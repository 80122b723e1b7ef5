#include "send_state.h"

#include <doctest/doctest.h>

namespace carawayvalve::net::detail {

namespace {

constexpr base::Milliseconds kInterval(250);

// A connection that is checked at every interval.
struct CheckedConnection {
  // Checks it for `time`, at the end of which `since_ack` has passed since the
  // last acknowledgement. Returns whether the peer counted as silent.
  bool Check(base::Duration time, base::Duration since_ack, bool awaits_ack) {
    bool silent = false;
    for (base::Duration left = time; left > base::Duration(0);
         left -= kInterval) {
      this->now += kInterval;
      const base::Duration age = since_ack - left + kInterval;
      silent = this->timer.IsOverdue({1, awaits_ack, age, 0}, this->now);
    }
    return silent;
  }

  AcknowledgementTimer timer;
  base::Instant now = base::Now();
};

}  // namespace

TEST_CASE("a peer counts as silent") {
  CheckedConnection connection;
  const base::Duration long_ago = std::chrono::seconds(20);

  SUBCASE("once it has acknowledged nothing for long enough") {
    CHECK(connection.Check(kMaxSilence + kInterval, kMaxSilence + kInterval,
                           true));
  }
  SUBCASE("but not while it acknowledges window probes") {
    CHECK_FALSE(connection.Check(long_ago, kMaxSilence / 2, true));
  }
  SUBCASE("but not while nothing is due from it") {
    CHECK_FALSE(connection.Check(long_ago, long_ago, false));

    SUBCASE("nor right after it was sent something") {
      CHECK_FALSE(connection.Check(kMaxSilence, long_ago + kMaxSilence, true));
      CHECK(connection.Check(kInterval, long_ago + kMaxSilence, true));
    }
  }
  SUBCASE("but not for the time in which this process was suspended") {
    CHECK_FALSE(connection.Check(kInterval, kInterval, true));
    connection.now += long_ago;
    CHECK_FALSE(connection.Check(kInterval, long_ago, true));
    CHECK(connection.Check(kMaxSilence, long_ago + kMaxSilence, true));
  }
}

}  // namespace carawayvalve::net::detail
