#include "carawayvalve/core/version_history.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace carawayvalve::core {

using base::Duration;
using base::Instant;
using std::chrono::seconds;

namespace {

const base::ServiceId kService{"models"};

// A backend server of a version that was registered for some time.
struct Registration {
  std::string version;
  int from = 0;
  int until = 0;
};

std::vector<Registration> DrawRegistrations() {
  std::vector<Registration> drawn;
  const int count = *rc::gen::inRange(1, 6);
  for (int i = 0; i < count; ++i) {
    const int from = *rc::gen::inRange(0, 60);
    drawn.push_back({"v" + std::to_string(*rc::gen::inRange(1, 4)), from,
                     from + *rc::gen::inRange(1, 30)});
  }
  return drawn;
}

}  // namespace

TEST_CASE("a service has had one version only") {
  VersionHistory history;
  const Instant start = Instant() + seconds(100);
  history.NoteVersion(kService, "v1", start);
  CHECK(history.MayHaveOther(kService, "v1", seconds(10), start));
  history.NoteVersion(kService, "v1", start + seconds(10));
  const Instant later = start + seconds(10);
  CHECK_FALSE(history.MayHaveOther(kService, "v1", seconds(10), later));
  CHECK(history.MayHaveOther(kService, "v2", seconds(10), later));
  CHECK_FALSE(history.MayHaveSeveral(kService, seconds(10), later));

  SUBCASE("until another one appears") {
    history.NoteVersion(kService, "v2", start + seconds(11));
    CHECK(history.MayHaveSeveral(kService, seconds(10), start + seconds(12)));
  }
  SUBCASE("unless one may have come and gone") {
    history.NoteGap(start + seconds(11));
    CHECK(history.MayHaveSeveral(kService, seconds(10), start + seconds(12)));
  }
}

TEST_CASE("successive processes know the only version of a service together") {
  CHECK(rc::check("as if one had seen all of it", [] {
    const Instant start = Instant() + seconds(1000);
    const auto registered = DrawRegistrations();
    const int restart = *rc::gen::inRange(10, 60);
    const int end = *rc::gen::inRange(restart + 1, 90);
    const seconds time(*rc::gen::inRange(1, 30));
    // The clock that dates the record is off by up to five seconds.
    const seconds clock_error(*rc::gen::inRange(-5, 6));
    VersionHistory before;
    VersionHistory after;
    for (int second = 0; second <= end; ++second) {
      VersionHistory& live = second < restart ? before : after;
      for (const Registration& server : registered) {
        if (server.from <= second && second < server.until) {
          live.NoteVersion(kService, server.version, start + seconds(second));
        }
      }
    }
    const Instant now = start + seconds(end);
    const auto stored = before.Recent(seconds(40), start + seconds(restart));
    after.Extend(stored, seconds(end - restart) + clock_error, now);

    for (const Registration& server : registered) {
      const bool recent =
          server.from <= end && end - (server.until - 1) < time.count();
      for (const std::string version : {"v1", "v2", "v3"}) {
        RC_ASSERT(!recent || version == server.version ||
                  after.MayHaveOther(kService, version, time, now));
      }
    }
  }));
}

}  // namespace carawayvalve::core
