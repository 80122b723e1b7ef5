#ifndef CARAWAYVALVE_BASE_TIME_H_
#define CARAWAYVALVE_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace carawayvalve::base {

// This host's monotonic clock, which keeps running while the host is suspended,
// so that a lease doesn't outlive its term because its holder was suspended.
// std::chrono::steady_clock stops during suspension, so its time points are a
// different type.
struct HostClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<HostClock>;
  static constexpr bool is_steady = true;  // NOLINT: the library's name

  // Throws base::Error when the kernel lacks the clock.
  static time_point now();
};

// A reading of HostClock. Readings of different hosts are not comparable.
using Instant = HostClock::time_point;
using Duration = HostClock::duration;
using Milliseconds = std::chrono::milliseconds;

inline Instant Now() {
  return HostClock::now();
}

inline int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_TIME_H_
