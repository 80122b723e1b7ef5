// Guards against streams that hold events of two software versions, whose
// outputs don't fit together.

#include <doctest/doctest.h>

#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using tests::Backend;

namespace {

// Enough for a second prefill.
constexpr int kMaxAttempts = 3;

net::Request Stream(const std::string& id) {
  return tests::PromptRequest("shop.example", "/notes/1", id);
}

// A request that takes the stream of `first` up after `event`.
net::Request TakingUp(const std::string& id,
                      const std::string& first,
                      const std::string& event) {
  net::Request request = Stream(id);
  request.fields.push_back({"Last-Event-Id", event});
  request.fields.push_back({tests::kResumedStreamField, first});
  return request;
}

}  // namespace

TEST_CASE("a broken stream goes on at another software version") {
  RequestFixture fixture(kMaxAttempts, kSlackOfManyRetries);
  Backend old_engine(fixture.gateway.loop, {.id = "old", .version = "v1"},
                     fixture.runs);
  fixture.Add("old", old_engine.port(), EngineRole::kDecode, "v1");
  Backend new_engine(fixture.gateway.loop, {.id = "new", .version = "v2"},
                     fixture.runs);
  fixture.Add("new", new_engine.port(), EngineRole::kDecode, "v2");
  // Makes the old one the better choice.
  fixture.gateway.state.load.NoteSent({"new"}, {5, 0, 1000});
  old_engine.cut_streams = 1;

  SUBCASE("which only the other version could") {
    fixture.SendRequest([](const std::string&) {}, Stream("r1"));
    CHECK(fixture.status == 200);
    CHECK_FALSE(fixture.complete);
    CHECK(fixture.body == tests::StreamEvent("r1", 1, "v1"));

    SUBCASE("nor when the caller takes it up") {
      const size_t before = fixture.runs.size();
      fixture.gateway.state.directory.NoteRemoved({"old"}, base::Now());
      fixture.SendRequest([](const std::string&) {}, TakingUp("r2", "r1", "1"));
      CHECK(fixture.status == 503);
      CHECK(fixture.runs.size() == before);
    }
    SUBCASE("or takes it up again") {
      Backend second(fixture.gateway.loop, {.id = "second", .version = "v1"},
                     fixture.runs);
      fixture.Add("second", second.port(), EngineRole::kDecode, "v1");
      fixture.gateway.state.directory.NoteRemoved({"old"}, base::Now());
      second.cut_streams = 1;
      fixture.SendRequest([](const std::string&) {}, TakingUp("r2", "r1", "0"));
      CHECK(fixture.body == tests::StreamEvent("r2", 1, "v1"));
      fixture.SendRequest([](const std::string&) {}, TakingUp("r3", "r1", "1"));
      CHECK(fixture.status == 200);
      CHECK(fixture.complete);
      CHECK(fixture.runs.back().backend == "second");
    }
  }
  SUBCASE("though another one of its own version serves") {
    Backend second(fixture.gateway.loop, {.id = "second", .version = "v1"},
                   fixture.runs);
    fixture.Add("second", second.port(), EngineRole::kDecode, "v1");
    fixture.gateway.state.load.NoteSent({"second"}, {9, 0, 5000});
    fixture.SendRequest([](const std::string&) {}, Stream("r1"));
    CHECK(fixture.status == 200);
    CHECK(fixture.complete);
    CHECK(fixture.runs.back().backend == "second");
  }
}

}  // namespace carawayvalve::gateway
