// Guards against a backend server whose answers are none, but begin at once, so
// that it seems to be the fastest one and gets the requests of all others.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../../systems/tests/answer_server.h"
#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;

namespace {

constexpr int kRequests = 6;
// Of these; an even share is half of them.
constexpr size_t kMaxSpoilt = 2;

struct SpoiltAnswer {
  std::string name;
  std::string bytes;
};

std::string Repeat(const std::string& unit, size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += unit;
  }
  return text;
}

std::vector<SpoiltAnswer> SpoiltAnswers() {
  const std::string events =
      tests::AnswerHead("Content-Type: text/event-stream\r\n");
  constexpr size_t kMuch = size_t{200} * 1024;
  constexpr size_t kEndless = 2 * kTestBufferBytes;
  return {
      {"a head alone", events},
      {"comments", events + ": soon\n\n: soon\n\n"},
      {"empty lines", events + "\n\n\n\n"},
      {"much of comments", events + Repeat(": x\n\n", kMuch)},
      {"much of empty lines", events + Repeat("\r\n", kMuch)},
      {"a line without end", events + Repeat("x", kMuch)},
      {"one event without end", events + "data: " + Repeat("x", kEndless)},
      {"a body without end", tests::AnswerHead("Content-Type: text/plain\r\n") +
                                 Repeat("x", kEndless)},
      {"an answer without a signature",
       tests::UnsignedHead("Content-Length: 4\r\n") + "text"},
  };
}

// A server that spoils every answer, and a sound one with more work in hand.
struct SpoiltFixture : RequestFixture {
  SpoiltFixture(const SpoiltAnswer& answer, int64_t max_attempts)
      : RequestFixture(max_attempts, kSlackOfManyRetries),
        spoiling(std::vector<systems::Reply>(kRequests, {answer.bytes, true})) {
    this->Add("spoiling", base::ParseAddress(this->spoiling.Address()).port,
              EngineRole::kDecode);
    this->Add("sound", this->sound.port(), EngineRole::kDecode);
    this->gateway.state.load.NoteSent({"sound"}, {5, 0, 1000});
  }

  systems::AnswerServer spoiling;
  tests::Backend sound{gateway.loop, {.id = "sound"}, runs};
};

}  // namespace

TEST_CASE("a stream is answered by another server than one that spoils it") {
  std::string events;
  for (int number = 1; number <= tests::Backend::Settings().events; ++number) {
    events += tests::StreamEvent("r1", number);
  }
  for (const SpoiltAnswer& answer : SpoiltAnswers()) {
    CAPTURE(answer.name);
    SpoiltFixture fixture(answer, 3);
    fixture.SendRequest([](const std::string&) {});
    CHECK(fixture.spoiling.Requests().size() == 1);
    CHECK(fixture.status == 200);
    CHECK(fixture.complete);
    CHECK(fixture.body == events);
  }
}

TEST_CASE("a server that spoils every answer soon gets no further request") {
  config::ServingPlan plan = NotesPlan(1);
  ++plan.version;
  SUBCASE("of streams") {}
  SUBCASE("of plain requests") {
    plan.routes.front().kind = config::RequestKind::kNonIdempotent;
    plan.routes.front().resumable = false;
  }
  // Ends an attempt without an event sooner.
  plan.routes.front().timeout = base::Milliseconds(800);
  for (const SpoiltAnswer& answer : SpoiltAnswers()) {
    CAPTURE(answer.name);
    SpoiltFixture fixture(answer, 1);
    fixture.gateway.state.ApplyPlan(plan);
    for (int sent = 0; sent < kRequests; ++sent) {
      fixture.SendRequest([](const std::string&) {});
    }
    CHECK(fixture.spoiling.Requests().size() <= kMaxSpoilt);
  }
}

// Guards against a prefill engine that seems to be the fastest one, as each of
// its answers is complete, and none is the prompt's.
TEST_CASE("a prefill engine that answers garbage soon gets no further prompt") {
  std::string type;
  std::string body;
  SUBCASE("that is no JSON") {
    body = "garbage";
  }
  SUBCASE("without a handle") {
    body = "{\"tokens\":1460}";
  }
  SUBCASE("of events") {
    type = "Content-Type: text/event-stream\r\n";
    body = "data: x\n\n";
  }
  const std::string length =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  systems::AnswerServer garbling(std::vector<systems::Reply>(
      kRequests, {tests::AnswerHead(type + length) + body, true}));
  RequestFixture fixture(3, kSlackOfManyRetries);
  fixture.Add("garbling", base::ParseAddress(garbling.Address()).port,
              EngineRole::kPrefill);
  tests::Backend sound(fixture.gateway.loop, {.id = "sound"}, fixture.runs);
  fixture.Add("sound", sound.port(), EngineRole::kDecode);
  fixture.gateway.state.load.NoteSent({"reader"}, {5, 5000, 1000});
  for (int sent = 0; sent < kRequests; ++sent) {
    fixture.SendRequest([](const std::string&) {});
    CHECK(fixture.status == 200);
    CHECK(fixture.complete);
  }
  CHECK(!garbling.Requests().empty());
  CHECK(garbling.Requests().size() <= kMaxSpoilt);
}

// Guards against answers that keep the gateway busy until they have used up the
// memory of all answers, while those of other servers wait.
TEST_CASE("an answer is given up long before it takes all memory") {
  config::ServingPlan plan = NotesPlan(1);
  ++plan.version;
  constexpr size_t kMb = size_t{1024} * 1024;
  const std::string events =
      tests::AnswerHead("Content-Type: text/event-stream\r\n");
  std::string head;
  SUBCASE("an event") {
    head = events + "data: ";
  }
  SUBCASE("the body of a failure") {
    head = tests::FailureHead("");
  }
  SUBCASE("a whole body") {
    plan.routes.front().kind = config::RequestKind::kNonIdempotent;
    plan.routes.front().resumable = false;
    head = tests::AnswerHead("");
  }
  const systems::AnswerServer engine(
      {{head + std::string(2 * kMb, 'x'), true}});
  RequestFixture fixture(1);
  fixture.gateway.state.settings.memory_bytes = 16 * kMb;
  fixture.gateway.state.ApplyPlan(plan);
  fixture.Add("endless", base::ParseAddress(engine.Address()).port,
              EngineRole::kDecode);
  fixture.SendRequest([](const std::string&) {});
  CHECK(fixture.status == 502);
}

TEST_CASE("a long answer is passed on") {
  constexpr size_t kBytes = size_t{900} * 1024;
  const std::string event = "data: " + std::string(kBytes, 'x') + "\n\n";
  const std::string body = event + event + event;
  const std::string fields =
      "Content-Length: " + std::to_string(body.size()) + "\r\n";
  config::ServingPlan plan = NotesPlan(1);
  ++plan.version;
  std::string type = "Content-Type: text/event-stream\r\n";
  SUBCASE("as a stream of events") {}
  SUBCASE("as a whole") {
    plan.routes.front().kind = config::RequestKind::kNonIdempotent;
    plan.routes.front().resumable = false;
  }
  SUBCASE("of another type, on a route of streams") {
    type = "Content-Type: application/json\r\n";
  }
  const systems::AnswerServer engine(
      {{tests::AnswerHead(type + fields) + body, true}});
  RequestFixture fixture(1);
  fixture.gateway.state.ApplyPlan(plan);
  fixture.Add("engine", base::ParseAddress(engine.Address()).port,
              EngineRole::kDecode);
  fixture.SendRequest([](const std::string&) {});
  CHECK(fixture.status == 200);
  CHECK(fixture.complete);
  CHECK(fixture.body == body);
}

}  // namespace carawayvalve::gateway
