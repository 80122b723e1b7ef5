// Guards against requests that a stopping gateway takes and cuts off when it is
// killed.

#include <doctest/doctest.h>

#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using tests::Backend;

TEST_CASE("a request reaches a gateway that stops") {
  RequestFixture fixture(1);
  Backend engine(fixture.gateway.loop, {.id = "generator"}, fixture.runs);
  fixture.Add("generator", engine.port(), EngineRole::kDecode);
  core::StopSchedule& stop = fixture.gateway.state.stop;
  const base::Duration timeout = NotesPlan(1).routes.front().timeout;
  const base::Instant now = base::Now();

  SUBCASE("too late to be answered whatever it takes") {
    stop.Begin(base::Duration(0), timeout, now);
    fixture.SendRequest([](const std::string&) {});
    CHECK(fixture.status == 503);
    CHECK(fixture.runs.empty());
    CHECK(engine.arrivals.empty());
  }
  SUBCASE("early enough to be answered in any case") {
    stop.Begin(base::Duration(0), timeout * 2, now);
    fixture.SendRequest([](const std::string&) {});
    CHECK(fixture.status == 200);
    CHECK(fixture.complete);
  }
  SUBCASE("before the load balancer can have noticed") {
    stop.Begin(timeout, timeout, now);
    fixture.SendRequest([](const std::string&) {});
    CHECK(fixture.status == 200);
    CHECK(fixture.complete);
  }
}

// Guards against requests in hand whose connections are closed without an
// answer at the end of a planned stop.
TEST_CASE("a gateway stops while it has a request in hand") {
  RequestFixture fixture(1);
  Backend engine(fixture.gateway.loop, {.id = "generator"}, fixture.runs);
  fixture.Add("generator", engine.port(), EngineRole::kDecode);
  const base::Instant start = base::Now();
  const base::Duration until_noticed = base::Milliseconds(400);
  // The request's own deadline is later.
  const base::Duration until_end = base::Milliseconds(1500);
  net::Timer stop(fixture.gateway.loop);
  net::Timer noticed(fixture.gateway.loop);
  size_t waiting = 0;
  const auto stop_after = [&](base::Duration delay) {
    stop.Start(delay, [&] {
      waiting = fixture.gateway.late_requests.size();
      fixture.gateway.state.stop.Begin(until_noticed, until_end, base::Now());
      fixture.gateway.live_requests.NoteStop();
      noticed.Start(until_noticed,
                    [&] { fixture.gateway.live_requests.NoteStop(); });
    });
  };
  const base::Duration delay = base::Milliseconds(100);
  base::Duration answered{};
  const auto send = [&] {
    fixture.SendRequest([](const std::string&) {});
    answered = base::Now() - start;
  };

  SUBCASE("that waits for room") {
    config::ServingPlan plan = NotesPlan(1);
    plan.version = 2;
    plan.routes.front().objective = base::Milliseconds(50);
    fixture.gateway.state.ApplyPlan(plan);
    for (const char* id : {"reader", "generator"}) {
      fixture.gateway.state.load.NoteSent({id}, {1, 15000, 1000});
    }
    stop_after(delay);
    send();
    CHECK(fixture.status == 503);
    CHECK(fixture.complete);
    CHECK(waiting == 1);
    CHECK(fixture.prefill_engine.arrivals.empty());
    CHECK(engine.arrivals.empty());

    // Its caller has time to go elsewhere.
    CHECK(answered < delay + until_noticed + base::Milliseconds(200));
  }
  SUBCASE("that a backend server runs and doesn't answer") {
    engine.never_answers = true;
    stop_after(delay);
    send();
    CHECK(fixture.status == 504);
    CHECK(fixture.complete);
    CHECK(answered < delay + until_end - base::Milliseconds(100));
  }
  SUBCASE("that is answered in time") {
    engine.extra_duration = base::Milliseconds(700);
    stop_after(delay);
    send();
    CHECK(fixture.status == 200);
    CHECK(fixture.complete);
  }
}

}  // namespace carawayvalve::gateway
