#include "carawayvalve/core/late_request_queue.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

TEST_CASE("LateRequestQueue") {
  const Instant now = Instant() + seconds(100);
  LateRequestQueue queue;
  const auto digest = queue.Add(2, now + seconds(3));
  const auto note = queue.Add(0, now + seconds(4));
  const auto soon = queue.Add(2, now + seconds(1));

  SUBCASE("orders by priority, then by deadline") {
    CHECK(queue.InOrder() ==
          std::vector<LateRequestQueue::Ticket>{note, soon, digest});
  }
  SUBCASE("keeps the arrival order of equal requests") {
    const auto later = queue.Add(0, now + seconds(4));
    CHECK(queue.InOrder().at(1) == later);
  }
  SUBCASE("doesn't return removed requests") {
    queue.Remove(note);
    queue.Remove(note);
    CHECK(queue.size() == 2);
    CHECK(queue.InOrder().front() == soon);
  }
}

// Load at the end of an outage: all callers retry at once, most of them too
// late for their objective, while new requests arrive that can still be on
// time.
TEST_CASE("late requests don't delay requests that can be on time") {
  constexpr Milliseconds kWork(50);
  constexpr Milliseconds kObjective(400);
  const auto simulate = [&](bool queue_late) {
    LateRequestQueue queue;
    Milliseconds backlog(0);
    int on_time = 0;
    for (int i = 0; i < 40; ++i) {
      queue.Add(1, Instant() + seconds(5));
    }
    if (!queue_late) {
      // All late requests are sent to the engine at once.
      backlog = kWork * 40;
    }
    // A new request arrives every 60 ms.
    for (int i = 0; i < 100; ++i) {
      on_time += backlog + kWork <= kObjective ? 1 : 0;
      backlog += kWork;
      backlog -= std::min(backlog, Milliseconds(60));
      if (queue_late && queue.size() > 0 && MayServeLate(backlog)) {
        queue.Remove(queue.InOrder().front());
        backlog += kWork;
      }
    }
    return on_time;
  };
  CHECK(simulate(true) == 100);
  CHECK(simulate(false) < 100);
}

}  // namespace carawayvalve::core
