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

}  // namespace carawayvalve::gateway
