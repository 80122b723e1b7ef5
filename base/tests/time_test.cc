#include "carawayvalve/base/time.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <ctime>
#include <mutex>
#include <type_traits>

namespace carawayvalve::base {

namespace {

// Reads the clock that keeps running while the host is suspended.
Instant BootTime() {
  timespec time{};
  REQUIRE(clock_gettime(CLOCK_BOOTTIME, &time) == 0);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

TEST_CASE("Now") {
  SUBCASE("keeps running while the host is suspended") {
    const Instant before = BootTime();
    const Instant now = Now();
    CHECK(before <= now);
    CHECK(now <= BootTime());
  }
  SUBCASE("never goes back") {
    Instant last = Now();
    for (int i = 0; i < 1000; ++i) {
      const Instant now = Now();
      REQUIRE(now >= last);
      last = now;
    }
  }
  SUBCASE("isn't convertible from a clock that stops during suspension") {
    CHECK_FALSE(
        std::is_convertible_v<std::chrono::steady_clock::time_point, Instant>);
  }
  SUBCASE("is the clock that a timed wait uses") {
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock(mutex);
    const Instant until = Now() + Milliseconds(20);
    while (never.wait_until(lock, until) != std::cv_status::timeout) {
    }
    CHECK(Now() >= until);
  }
}

}  // namespace carawayvalve::base
