#include "carawayvalve/core/event_cutter.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace carawayvalve::core {

TEST_CASE("EventCutter") {
  EventCutter cutter;

  SUBCASE("gives whole events, and keeps the beginning of the next") {
    CHECK(cutter.Take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(cutter.last_id() == "1");
    CHECK(cutter.Take("ta: b\n") == "");
    CHECK(cutter.Take("\n") == "id: 2\ndata: b\n\n");
    CHECK(cutter.last_id() == "2");
    CHECK(cutter.events() == 2);
  }
  SUBCASE("takes lines that end in CR LF") {
    CHECK(cutter.Take("id: 7\r\ndata: a\r\n\r\nid") ==
          "id: 7\r\ndata: a\r\n\r\n");
    CHECK(cutter.last_id() == "7");
  }
  SUBCASE("an incomplete event has no id yet") {
    cutter.Take("id: 1\ndata: a\n\nid: 2\n");
    CHECK(cutter.last_id() == "1");
    CHECK(cutter.TakeRest() == "id: 2\n");
    CHECK(cutter.TakeRest() == "");
  }
}

TEST_CASE("cutting loses and adds nothing") {
  CHECK(rc::check("wherever the bytes are cut", [] {
    const std::string stream =
        "id: 1\ndata: one\n\nversion: 2\nid: 2\ndata: two\n\ndata: none\n\n";
    EventCutter cutter;
    std::string passed;
    size_t at = 0;
    while (at < stream.size()) {
      const auto size = static_cast<size_t>(*rc::gen::inRange(1, 12));
      passed += cutter.Take(stream.substr(at, size));
      at += size;
    }
    RC_ASSERT(passed + cutter.TakeRest() == stream);
    RC_ASSERT(cutter.last_id() == "2");
  }));
}

}  // namespace carawayvalve::core
