#include "carawayvalve/core/server_sent_event_splitter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace carawayvalve::core {

TEST_CASE("EventCutter") {
  ServerSentEventSplitter cutter;

  SUBCASE("gives whole events, and keeps the beginning of the next") {
    CHECK(cutter.Feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(cutter.last_event_id() == "1");
    CHECK(cutter.Feed("ta: b\n") == "");
    CHECK(cutter.Feed("\n") == "id: 2\ndata: b\n\n");
    CHECK(cutter.last_event_id() == "2");
    CHECK(cutter.event_count() == 2);
  }
  SUBCASE("takes lines that end in CR LF") {
    CHECK(cutter.Feed("id: 7\r\ndata: a\r\n\r\nid") ==
          "id: 7\r\ndata: a\r\n\r\n");
    CHECK(cutter.last_event_id() == "7");
  }
  SUBCASE("an incomplete event has no id yet") {
    cutter.Feed("id: 1\ndata: a\n\nid: 2\n");
    CHECK(cutter.last_event_id() == "1");
    CHECK(cutter.TakeIncomplete() == "id: 2\n");
    CHECK(cutter.TakeIncomplete() == "");
  }
}

TEST_CASE("cutting loses and adds nothing") {
  CHECK(rc::check("wherever the bytes are cut", [] {
    const std::string stream =
        "id: 1\ndata: one\n\nversion: 2\nid: 2\ndata: two\n\ndata: none\n\n";
    ServerSentEventSplitter cutter;
    std::string passed;
    size_t at = 0;
    while (at < stream.size()) {
      const auto size = static_cast<size_t>(*rc::gen::inRange(1, 12));
      passed += cutter.Feed(stream.substr(at, size));
      at += size;
    }
    RC_ASSERT(passed + cutter.TakeIncomplete() == stream);
    RC_ASSERT(cutter.last_event_id() == "2");
  }));
}

}  // namespace carawayvalve::core
