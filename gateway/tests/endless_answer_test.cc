// Guards against a backend server whose answer goes on without end and takes
// the gateway over its memory, with all other requests in its hands.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../../systems/tests/answer_server.h"
#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;

namespace {

// More than all buffers of the test's gateway may hold.
constexpr size_t kEndlessBytes = 3 * kTestBufferBytes;
// Less than the timeout of the route.
constexpr base::Milliseconds kSoon(1500);

struct EndlessAnswer {
  std::string name;
  std::string head;
  int status;
};

std::vector<EndlessAnswer> EndlessAnswers() {
  const std::string events = "Content-Type: text/event-stream\r\n";
  return {
      {"a body without a signature", tests::UnsignedHead(""), 502},
      {"events without a signature", tests::UnsignedHead(events), 502},
      {"the body of a failure", tests::FailureHead(""), 502},
      {"one event", tests::AnswerHead(events) + "data: ", 502},
      {"a refusal", tests::RefusalHead(""), 503},
  };
}

}  // namespace

TEST_CASE("a backend server's answer goes on without end") {
  for (const EndlessAnswer& answer : EndlessAnswers()) {
    CAPTURE(answer.name);
    const systems::AnswerServer engine(
        {{answer.head + std::string(kEndlessBytes, 'x'), true}});
    RequestFixture fixture(1);
    fixture.Add("endless", base::ParseAddress(engine.Address()).port,
                EngineRole::kDecode);
    const base::Instant begun = base::Now();
    fixture.SendRequest([](const std::string&) {});
    CHECK(fixture.status == answer.status);
    CHECK(base::Now() - begun < kSoon);
    CHECK(fixture.gateway.buffers->used() == 0);
  }
}

TEST_CASE("a refusal's body stops before its end") {
  const systems::AnswerServer engine(
      {{tests::RefusalHead("Content-Length: 10\r\n") + "busy", true}});
  RequestFixture fixture(1);
  fixture.Add("stalled", base::ParseAddress(engine.Address()).port,
              EngineRole::kDecode);
  const base::Instant begun = base::Now();
  fixture.SendRequest([](const std::string&) {});
  CHECK(fixture.status == 503);
  CHECK(base::Now() - begun < kSoon);
}

TEST_CASE("an engine that prefills answers without end") {
  const systems::AnswerServer endless(
      {{tests::UnsignedHead("") + std::string(kEndlessBytes, 'x'), true}});
  RequestFixture fixture(2, kSlackOfManyRetries);
  fixture.gateway.state.directory.NoteRemoved({"reader"}, base::Now());
  fixture.Add("endless", base::ParseAddress(endless.Address()).port,
              EngineRole::kPrefill);
  tests::Backend decode_engine(fixture.gateway.loop, {.id = "generator"},
                               fixture.runs);
  fixture.Add("generator", decode_engine.port(), EngineRole::kDecode);
  fixture.SendRequest([](const std::string&) {});
  CHECK(fixture.status == 200);
  CHECK(fixture.complete);
}

}  // namespace carawayvalve::gateway
