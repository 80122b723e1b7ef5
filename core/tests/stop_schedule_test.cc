#include "carawayvalve/core/stop_schedule.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

// Guards against requests that are begun by a stopping process and cut off when
// it is killed.
TEST_CASE("a process that is told to stop") {
  const Instant start = Instant() + seconds(100);
  StopSchedule stop;

  SUBCASE("takes all requests before") {
    CHECK_FALSE(stop.begun());
    CHECK(stop.MayTake(start + seconds(60), start));
    CHECK_FALSE(stop.MustEnd(start));
  }
  SUBCASE("then") {
    stop.Begin(seconds(3), seconds(8), start);
    CHECK(stop.begun());

    SUBCASE("takes all until the load balancer has noticed") {
      CHECK(stop.MayTake(start + seconds(60), start + Milliseconds(2999)));
      CHECK_FALSE(stop.BalancerNoticed(start + Milliseconds(2999)));
      CHECK(stop.BalancerNoticed(start + seconds(3)));
    }
    SUBCASE("afterwards only those that end before it does") {
      CHECK(stop.MayTake(start + seconds(8), start + seconds(3)));
      CHECK_FALSE(stop.MayTake(start + Milliseconds(8001), start + seconds(3)));
      CHECK(stop.MayTake(start + Milliseconds(7900), start + seconds(7)));
    }
    SUBCASE("ends in time") {
      CHECK_FALSE(stop.MustEnd(start + Milliseconds(7999)));
      CHECK(stop.MustEnd(start + seconds(8)));
    }
  }
}

// Guards against requests in hand that get no final answer before the process
// ends, and against answers that are given up sooner than the stop requires.
TEST_CASE("the final answer while stopping") {
  const auto holds = rc::check("comes by the deadline and before the end", [] {
    const Instant start = Instant() + seconds(100);
    const auto any_ms = rc::gen::inRange(0, 20000);
    const Milliseconds deadline(*any_ms);
    const Milliseconds noticed(*any_ms);
    const Milliseconds end(*rc::gen::inRange(500, 20000));
    StopSchedule stop;
    RC_ASSERT(stop.AnswerBy(start + deadline) == start + deadline);

    stop.Begin(noticed, end, start);
    const Instant answer_by = stop.AnswerBy(start + deadline);
    RC_ASSERT(answer_by <= start + deadline);
    RC_ASSERT(!stop.MustEnd(answer_by + Milliseconds(250)));
    RC_ASSERT(answer_by == start + deadline ||
              stop.MustEnd(answer_by + Milliseconds(500)));
  });
  CHECK(holds);
}

}  // namespace carawayvalve::core
