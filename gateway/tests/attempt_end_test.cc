// Guards against attempts of which logs and metrics don't tell how they ended,
// so that a backend server without an answer can't be told from a slow one.
#include <doctest/doctest.h>

#include <string>

#include "../../systems/tests/answer_server.h"
#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;

namespace {

constexpr base::Milliseconds kPause(200);
constexpr base::Milliseconds kTimeToEnd(1500);

}  // namespace

TEST_CASE("an attempt ends with its request") {
  const systems::AnswerServer engine(
      {{tests::AnswerHead("Content-Type: text/event-stream\r\n"), true}});
  RequestFixture fixture(1);
  fixture.Add("stalled", base::ParseAddress(engine.Address()).port,
              EngineRole::kDecode);
  const auto ended_by = [&](const std::string& outcome) {
    return fixture.gateway.metrics.Print().find(
               "carawayvalve_attempts_total{outcome=\"" + outcome + "\"} 1") !=
           std::string::npos;
  };

  SUBCASE("at its deadline") {
    fixture.SendRequest([](const std::string&) {});
    CHECK(ended_by("deadline"));
  }
  SUBCASE("as its gateway stops") {
    net::Timer stop(fixture.gateway.loop);
    stop.Start(kPause, [&] {
      fixture.gateway.state.stop.Begin({}, kTimeToEnd, base::Now());
      fixture.gateway.live_requests.NoteStop();
    });
    fixture.SendRequest([](const std::string&) {});
    CHECK(ended_by("stop"));
  }
  SUBCASE("as its caller leaves") {
    net::HttpClient caller(fixture.gateway.loop, std::chrono::seconds(1));
    auto call =
        caller.Start({"127.0.0.1", fixture.server.port()},
                     tests::PromptRequest("shop.example", "/notes/1", "r1"), {},
                     [](const net::CallEvent&) {});
    net::Timer leave(fixture.gateway.loop);
    leave.Start(kPause, [&] { call.reset(); });
    fixture.gateway.RunFor(2 * kPause);
    CHECK(ended_by("caller_left"));
  }
}

}  // namespace carawayvalve::gateway
