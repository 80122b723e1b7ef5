#include "carawayvalve/base/time.h"

#include <cerrno>
#include <cstring>
#include <ctime>

#include "carawayvalve/base/error.h"

namespace carawayvalve::base {

Instant HostClock::now() {
  timespec time{};
  if (clock_gettime(CLOCK_BOOTTIME, &time) != 0) {
    throw Error("read clock", "CLOCK_BOOTTIME", std::strerror(errno));
  }
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace carawayvalve::base
