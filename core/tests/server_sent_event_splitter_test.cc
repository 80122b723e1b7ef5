#include "carawayvalve/core/server_sent_event_splitter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

TEST_CASE("ServerSentEventSplitter") {
  ServerSentEventSplitter splitter;

  SUBCASE("returns complete events and keeps the start of the next one") {
    CHECK(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(splitter.last_event_id() == "1");
    CHECK(splitter.Feed("ta: b\n") == "");
    CHECK(splitter.Feed("\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.last_event_id() == "2");
    CHECK(splitter.event_count() == 2);
  }
  SUBCASE("accepts lines that end in CR LF") {
    CHECK(splitter.Feed("id: 7\r\ndata: a\r\n\r\nid") ==
          "id: 7\r\ndata: a\r\n\r\n");
    CHECK(splitter.last_event_id() == "7");
  }
  SUBCASE("finds the end of an event in any two pieces") {
    const std::string event = "id: 7\r\ndata: a\r\n\r\n";
    for (size_t size = 0; size <= event.size(); ++size) {
      ServerSentEventSplitter pieces;
      const std::string first = pieces.Feed(event.substr(0, size));
      CHECK(first + pieces.Feed(event.substr(size)) == event);
    }
  }
  SUBCASE("takes time in proportion to an event without end") {
    const std::string piece(size_t{8} * 1024, 'x');
    const base::Instant begun = base::Now();
    for (int i = 0; i < 4096; ++i) {
      splitter.Feed(piece);
    }
    CHECK(base::Now() - begun < std::chrono::seconds(2));
    CHECK(splitter.incomplete().size() == 4096 * piece.size());
  }
  SUBCASE("keeps comments and empty lines until the event after them") {
    CHECK(splitter.Feed(": soon\n\n\n\n") == "");
    CHECK(splitter.Feed(":\r\n\r\nid: 1\n") == "");
    CHECK(splitter.event_count() == 0);
    CHECK(splitter.Feed("\n: on\n\n") == ": soon\n\n\n\n:\r\n\r\nid: 1\n\n");
    CHECK(splitter.event_count() == 1);
    CHECK(splitter.TakeIncomplete() == ": on\n\n");
    CHECK(splitter.Feed("id: 2\n\n") == "id: 2\n\n");
  }
  SUBCASE("passes a text in another format on as it is") {
    CHECK(splitter.Feed("{\"a\": 1}\n\n{\"b\"") == "{\"a\": 1}\n\n");
  }
  SUBCASE("an incomplete event doesn't change the last id") {
    splitter.Feed("id: 1\ndata: a\n\nid: 2\n");
    CHECK(splitter.last_event_id() == "1");
    CHECK(splitter.TakeIncomplete() == "id: 2\n");
    CHECK(splitter.TakeIncomplete() == "");
  }
}

TEST_CASE("splitting neither loses nor adds bytes") {
  CHECK(rc::check("for any chunk sizes", [] {
    const std::string stream =
        ": soon\n\n\nid: 1\ndata: one\n\n:\n\nversion: 2\nid: 2\ndata: two\n\n"
        "data: none\n\n: end\n\n";
    ServerSentEventSplitter splitter;
    std::string passed;
    size_t at = 0;
    while (at < stream.size()) {
      const auto size = static_cast<size_t>(*rc::gen::inRange(1, 12));
      passed += splitter.Feed(stream.substr(at, size));
      at += size;
    }
    RC_ASSERT(passed + splitter.TakeIncomplete() == stream);
    RC_ASSERT(splitter.last_event_id() == "2");
  }));
}

}  // namespace carawayvalve::core
