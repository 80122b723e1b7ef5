// Guards against streams with the text of an error, with events missing or
// twice, or that end as if they were complete, after a backend server that goes
// on with them has answered with something else.
#include "carawayvalve/core/stream_continuity.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

namespace {

constexpr char kEvents[] = "text/event-stream";

std::string Event(const std::string& id) {
  return "id: " + id + "\ndata: a\n\n";
}

}  // namespace

TEST_CASE("StreamContinuity") {
  StreamContinuity stream;
  const auto fits = [&](const std::string& event) {
    return !stream.Accept(event).has_value();
  };

  SUBCASE("takes any events of the first run") {
    REQUIRE_FALSE(stream.BeginRun("Text/Event-Stream; charset=utf-8"));
    for (const char* event :
         {"data: a\n\n", "id: 7\r\ndata: a\r\n\r\n", "event: ping\n\n",
          "id: 3\n\n", ": a comment\n\n", "\n\n", "\357\273\277data\n\n",
          "x-version: 3\nid: 8\ndata: a\n\n", "retry: 5\n\n"}) {
      CAPTURE(event);
      CHECK(fits(event));
    }
    CHECK_FALSE(stream.EndRun());
  }
  SUBCASE("takes nothing for an event that isn't one") {
    REQUIRE_FALSE(stream.BeginRun(kEvents));
    for (const char* text :
         {"HTTP/1.1 500 Failed\r\nContent-Length: 5\r\n\r\n", "error\n\n",
          "{\"error\": \"data: none\"}\n\n", "datum: a\n\n"}) {
      CAPTURE(text);
      CHECK_FALSE(fits(text));
    }
    CHECK(stream.MayContinue());
  }
  SUBCASE("takes what isn't an event stream as it is, once") {
    REQUIRE_FALSE(stream.BeginRun("application/json"));
    CHECK(fits("{}\n\n"));
    CHECK_FALSE(stream.MayContinue());
  }
  SUBCASE("may begin again after comments alone, with the same type") {
    REQUIRE_FALSE(stream.BeginRun(kEvents));
    REQUIRE(fits(": soon\n\n"));
    CHECK(stream.MayContinue());
    CHECK(stream.BeginRun("text/plain"));
    CHECK_FALSE(stream.BeginRun(kEvents));
    CHECK(fits(Event("1")));
  }
  SUBCASE("can't go on after an event without an id") {
    REQUIRE_FALSE(stream.BeginRun(kEvents));
    REQUIRE(fits("data: a\n\n"));
    CHECK_FALSE(stream.MayContinue());
  }
  SUBCASE("goes on after events that count") {
    REQUIRE_FALSE(stream.BeginRun(kEvents));
    REQUIRE(fits(Event("1")));

    SUBCASE("with the next one of an answer of the same type") {
      REQUIRE_FALSE(stream.BeginRun(kEvents));
      CHECK(fits(": on\n\n"));
      CHECK(fits(Event("2")));
      CHECK(fits("data: [DONE]\n\n"));
      CHECK_FALSE(stream.EndRun());

      SUBCASE("and each later one") {
        CHECK_FALSE(fits(Event("4")));
        CHECK_FALSE(fits(Event("2")));
        CHECK(fits(Event("3")));
      }
    }
    SUBCASE("but with no other type") {
      CHECK(stream.BeginRun("text/plain"));
      CHECK_FALSE(stream.BeginRun(std::nullopt));
    }
    SUBCASE("but with no other event") {
      for (const std::string& event :
           {Event("1"), Event("0"), Event("3"), std::string("data: a\n\n"),
            std::string("HTTP/1.1 500 Failed\r\n\r\n")}) {
        CAPTURE(event);
        REQUIRE_FALSE(stream.BeginRun(kEvents));
        CHECK_FALSE(fits(event));
        CHECK(stream.MayContinue());
      }
    }
    SUBCASE("but doesn't end without one") {
      REQUIRE_FALSE(stream.BeginRun(kEvents));
      CHECK(stream.EndRun());
      CHECK(fits(": on\n\n"));
      CHECK(stream.EndRun());
    }
  }
  SUBCASE("goes on after other ids") {
    REQUIRE_FALSE(stream.BeginRun(kEvents));

    SUBCASE("that rise unevenly, with any higher one") {
      for (const char* id : {"4", "5", "9"}) {
        REQUIRE(fits(Event(id)));
      }
      REQUIRE_FALSE(stream.BeginRun(kEvents));
      CHECK_FALSE(fits(Event("9")));
      CHECK(fits(Event("12")));
    }
    SUBCASE("that rise by more than one, with the next one") {
      for (const char* id : {"10", "20"}) {
        REQUIRE(fits(Event(id)));
      }
      REQUIRE_FALSE(stream.BeginRun(kEvents));
      CHECK_FALSE(fits(Event("21")));
      CHECK(fits(Event("30")));
    }
    SUBCASE("that aren't numbers, with another one") {
      REQUIRE(fits(Event("a-1")));
      REQUIRE_FALSE(stream.BeginRun(kEvents));
      CHECK_FALSE(fits(Event("a-1")));
      CHECK(fits(Event("a-2")));
    }
  }
}

TEST_CASE("StreamContinuity of a stream that its caller takes up") {
  StreamContinuity stream("4");
  REQUIRE_FALSE(stream.BeginRun(kEvents));

  SUBCASE("goes on after the caller's last event") {
    CHECK_FALSE(stream.Accept(Event("5")));
  }
  SUBCASE("doesn't begin again") {
    CHECK(stream.Accept(Event("4")));
    CHECK(stream.Accept(Event("1")));
  }
  SUBCASE("may be at its end, as its backend server says so itself") {
    CHECK_FALSE(stream.EndRun());
  }
}

}  // namespace carawayvalve::core
