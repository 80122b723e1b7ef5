#include "carawayvalve/core/answer_completeness.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

namespace carawayvalve::core {

namespace {

const std::string kEventStream = "text/event-stream";

bool IsComplete(const std::string& body, bool ends_with_connection) {
  AnswerCompleteness answer(kEventStream, false, ends_with_connection);
  answer.Feed(body);
  return !answer.Fault().has_value();
}

}  // namespace

TEST_CASE("AnswerCompleteness of an event stream") {
  SUBCASE("it is complete after an event, however its end is marked") {
    CHECK(IsComplete("id: 1\ndata: a\n\n", true));
    CHECK(IsComplete("id: 1\ndata: a\n\n", false));
    CHECK(IsComplete("data: a\r\n\r\n", true));
    CHECK(IsComplete("data: a\r\r", true));
    CHECK(IsComplete("data: a\n\n\n", true));
    CHECK(IsComplete("data: a\n\n: a comment\n", true));
  }
  SUBCASE("it isn't inside an event, however its end is marked") {
    for (const bool ends_with_connection : {false, true}) {
      CHECK_FALSE(IsComplete("data: a\n\ndata: b", ends_with_connection));
      CHECK_FALSE(IsComplete("data: a\n\ndata: b\n", ends_with_connection));
      CHECK_FALSE(IsComplete("data: a\r\n\r\nid: 2\r\n", ends_with_connection));
      CHECK_FALSE(IsComplete("data: a\n\nd", ends_with_connection));
    }
  }
  SUBCASE("it isn't without an event if it ends with its connection") {
    CHECK_FALSE(IsComplete("", true));
    CHECK_FALSE(IsComplete(": a comment\n\n", true));
    CHECK(IsComplete("", false));
  }
  SUBCASE("parameters may follow its media type") {
    AnswerCompleteness answer("Text/Event-Stream; charset=utf-8", false, true);
    CHECK(answer.Fault().has_value());
  }
}

// Guards against a backend server that sends comments or empty lines without
// end, and counts as one that answers.
TEST_CASE("what an event stream sends beside events doesn't bring it on") {
  AnswerCompleteness answer(kEventStream, false, false);
  const auto fill = [&](const std::string& unit, size_t bytes) {
    bool brought_on = false;
    for (size_t sent = 0; sent < bytes; sent += unit.size()) {
      brought_on = answer.Feed(unit) || brought_on;
    }
    return brought_on;
  };
  constexpr size_t kMaxBytes = size_t{64} * 1024;

  SUBCASE("only the end of an event does") {
    for (const char* text : {": soon\n", "\n\n", "\r\n", "data", ":", " a\n"}) {
      CAPTURE(text);
      CHECK_FALSE(answer.Feed(text));
    }
    CHECK(answer.Feed("\n"));
    CHECK_FALSE(answer.Feed("\n"));
    CHECK(answer.Feed("id\r\r"));
  }
  SUBCASE("a byte order mark may stand before the first event") {
    CHECK(answer.Feed("\357\273\277data: a\n\n"));
    CHECK_FALSE(answer.Feed("\357\273\277data: a\n\n"));
  }
  SUBCASE("it is bounded between two events") {
    for (const char* unit : {": x\n\n", ": x\n", "\n", "\r\n", ":", "error\n\n",
                             "x", "\357\273\277"}) {
      CAPTURE(unit);
      answer = AnswerCompleteness(kEventStream, false, false);
      CHECK_FALSE(fill(unit, kMaxBytes - 8));
      CHECK_FALSE(answer.FaultSoFar().has_value());
      CHECK_FALSE(fill(unit, 16));
      CHECK(answer.FaultSoFar().has_value());
    }
  }
  SUBCASE("any number of events may have some before them") {
    for (int i = 0; i < 100; ++i) {
      CHECK(fill(": some\n\ndata: a\n\n", kMaxBytes / 10));
    }
    CHECK_FALSE(answer.FaultSoFar().has_value());
  }
  SUBCASE("an event may be longer") {
    answer.Feed("data: ");
    CHECK_FALSE(fill("x", 2 * kMaxBytes));
    CHECK_FALSE(answer.FaultSoFar().has_value());
    CHECK(answer.Feed("\n\n"));
  }
}

TEST_CASE("AnswerCompleteness of other answers") {
  SUBCASE("any end is the end") {
    AnswerCompleteness answer("application/json", true, true);
    CHECK(answer.Feed("{\"half\":"));
    CHECK_FALSE(answer.Fault().has_value());
  }
  SUBCASE("without a content type, what was expected decides") {
    AnswerCompleteness expected(std::nullopt, true, true);
    CHECK(expected.Fault().has_value());
    AnswerCompleteness unexpected(std::nullopt, false, true);
    CHECK_FALSE(unexpected.Fault().has_value());
  }
}

TEST_CASE("what is held of an answer is bounded") {
  const std::string event = "data: " + std::string(90, 'x') + "\n\n";
  const auto may_have = [&](const std::string& type, bool passes_events_on) {
    AnswerCompleteness answer(type, false, false);
    answer.SetMaxHeldBytes(100, passes_events_on);
    answer.Feed(event);
    CHECK_FALSE(answer.FaultSoFar().has_value());
    answer.Feed(event);
    return !answer.FaultSoFar().has_value();
  };
  SUBCASE("as a whole") {
    CHECK_FALSE(may_have("text/plain", false));
    CHECK_FALSE(may_have(kEventStream, false));
  }
  SUBCASE("event by event, if they are passed on") {
    CHECK(may_have(kEventStream, true));
    AnswerCompleteness answer(kEventStream, false, false);
    answer.SetMaxHeldBytes(100, true);
    answer.Feed("data: " + std::string(100, 'x'));
    CHECK(answer.FaultSoFar().has_value());
  }
}

TEST_CASE("a stream that is cut anywhere is complete only between events") {
  CHECK(rc::check("for any chunk sizes and line ends", [] {
    const auto line_end =
        *rc::gen::elementOf(std::vector<std::string>{"\n", "\r\n", "\r"});
    const auto event_count = *rc::gen::inRange(1, 5);
    std::string stream;
    // The positions at which an event has ended.
    std::vector<size_t> boundaries;
    for (int i = 0; i < event_count; ++i) {
      for (const std::string& line :
           {"id: " + std::to_string(i), std::string("data: text"),
            std::string()}) {
        stream += line;
        stream += line_end;
      }
      boundaries.push_back(stream.size());
    }
    const auto cut =
        static_cast<size_t>(*rc::gen::inRange<int64_t>(1, stream.size() + 1));
    AnswerCompleteness answer(kEventStream, false, true);
    size_t at = 0;
    while (at < cut) {
      const auto size = static_cast<size_t>(*rc::gen::inRange(1, 9));
      answer.Feed(
          std::string_view(stream).substr(at, std::min(size, cut - at)));
      at += size;
    }
    // Between the CR and the LF of an empty line, the event has ended as well.
    const bool at_boundary =
        std::any_of(boundaries.begin(), boundaries.end(), [&](size_t boundary) {
          return cut == boundary || (line_end == "\r\n" && cut + 1 == boundary);
        });
    RC_ASSERT(answer.Fault().has_value() == !at_boundary);
  }));
}

}  // namespace carawayvalve::core
