// Guards against callers that find something else in the middle of a stream
// whose first backend server broke off, or a stream that ends too early as if
// it were complete.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../../systems/tests/answer_server.h"
#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using tests::Backend;
using tests::StreamEvent;

namespace {

constexpr char kEventType[] = "Content-Type: text/event-stream\r\n";

struct OddContinuation {
  std::string name;
  std::string fields;
  std::string body;
  // The caller may get the beginning of the body.
  std::string delivered;
};

std::vector<OddContinuation> OddContinuations() {
  const std::string second = StreamEvent("r1", 2);
  return {
      {"the text of an error", "Content-Type: text/plain\r\n",
       "backend failed\n\n", ""},
      {"an event of another type", "Content-Type: text/plain\r\n", second, ""},
      {"a head in place of events", kEventType,
       "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", ""},
      {"a head after an event", kEventType,
       second + "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", second},
      {"no event", kEventType, "", ""},
      {"the stream from its beginning", kEventType,
       StreamEvent("r1", 1) + second, ""},
      {"the event after the next one", kEventType, StreamEvent("r1", 3), ""},
      {"an event without an id", kEventType, "data: r1/2\n\n", ""},
  };
}

// Three engines: one whose stream breaks off after its first event, one that
// goes on in an odd way, and a sound one, in this order.
struct OddFixture : RequestFixture {
  OddFixture(const std::string& odd_answer, bool with_sound_engine)
      : RequestFixture(4, kSlackOfManyRetries),
        breaking({{tests::AnswerHead(kEventType) + StreamEvent("r1", 1) +
                       StreamEvent("r1", 2).substr(0, 10),
                   false}}),
        odd({{odd_answer, false}}) {
    this->Add("breaking", base::ParseAddress(this->breaking.Address()).port,
              EngineRole::kDecode);
    this->Add("odd", base::ParseAddress(this->odd.Address()).port,
              EngineRole::kDecode);
    this->gateway.state.load.NoteSent({"odd"}, {5, 0, 1000});
    if (with_sound_engine) {
      this->Add("sound", this->sound.port(), EngineRole::kDecode);
      this->gateway.state.load.NoteSent({"sound"}, {10, 0, 1000});
    }
    this->SendRequest([](const std::string&) {});
  }

  systems::AnswerServer breaking;
  systems::AnswerServer odd;
  Backend sound{gateway.loop, {.id = "sound"}, runs};
};

std::string WholeStream() {
  std::string events;
  for (int number = 1; number <= Backend::Settings().events; ++number) {
    events += StreamEvent("r1", number);
  }
  return events;
}

std::string AnswerOf(const OddContinuation& odd) {
  return tests::AnswerHead(odd.fields + "Content-Length: " +
                           std::to_string(odd.body.size()) + "\r\n") +
         odd.body;
}

}  // namespace

TEST_CASE("a backend server goes on with a stream in an odd way") {
  SUBCASE("another one goes on instead") {
    for (const OddContinuation& odd : OddContinuations()) {
      CAPTURE(odd.name);
      OddFixture fixture(AnswerOf(odd), true);
      CHECK(fixture.odd.Requests().size() == 1);
      CHECK(fixture.body == WholeStream());
      CHECK(fixture.complete);
    }
  }
  SUBCASE("without another one the stream breaks off") {
    for (const OddContinuation& odd : OddContinuations()) {
      CAPTURE(odd.name);
      OddFixture fixture(AnswerOf(odd), false);
      CHECK(fixture.body == StreamEvent("r1", 1) + odd.delivered);
      CHECK_FALSE(fixture.complete);
    }
  }
}

TEST_CASE("an event stream begins with something else") {
  const std::string text = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
  systems::AnswerServer odd(
      {{tests::AnswerHead(std::string(kEventType) + "Content-Length: " +
                          std::to_string(text.size()) + "\r\n") +
            text,
        false}});
  RequestFixture fixture(3, kSlackOfManyRetries);
  fixture.Add("odd", base::ParseAddress(odd.Address()).port,
              EngineRole::kDecode);

  SUBCASE("another backend server answers") {
    Backend sound(fixture.gateway.loop, {.id = "sound"}, fixture.runs);
    fixture.Add("sound", sound.port(), EngineRole::kDecode);
    fixture.gateway.state.load.NoteSent({"sound"}, {5, 0, 1000});
    fixture.SendRequest([](const std::string&) {});
    CHECK(fixture.status == 200);
    CHECK(fixture.body == WholeStream());
  }
  SUBCASE("without another one the caller gets an error") {
    fixture.SendRequest([](const std::string&) {});
    CHECK(fixture.status == 502);
  }
}

TEST_CASE("a successful answer to a stream's request isn't an event stream") {
  const std::string text = "{\"a\": 1}\n\n{\"b\": 2}";
  systems::AnswerServer engine(
      {{tests::AnswerHead("Content-Type: application/json\r\nContent-Length: " +
                          std::to_string(text.size()) + "\r\n") +
            text,
        false}});
  RequestFixture fixture(1);
  fixture.Add("engine", base::ParseAddress(engine.Address()).port,
              EngineRole::kDecode);
  fixture.SendRequest([](const std::string&) {});
  CHECK(fixture.status == 200);
  CHECK(fixture.body == text);
  CHECK(fixture.complete);
}

}  // namespace carawayvalve::gateway
