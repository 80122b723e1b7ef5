// Guards against a request that has run and is answered as not run, or runs
// twice, as a refusal that is cut short, or its copy, is taken for its answer.
#include <doctest/doctest.h>

#include <map>
#include <string>

#include "../../systems/tests/answer_server.h"
#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;

namespace {

constexpr char kBody[] = "refused for now";

std::string Refusal(const std::string& id) {
  return std::string("HTTP/1.1 503 Full\r\n") + tests::kNotRunLine +
         "X-Request-Id: " + id +
         "\r\nContent-Length: " + std::to_string(sizeof(kBody) - 1) +
         "\r\n\r\n" + kBody;
}

std::string Events(const std::string& id) {
  const std::string body = tests::StreamEvent(id, 1);
  return std::string("HTTP/1.1 200 OK\r\n") + tests::kSignatureLine +
         "Content-Type: text/event-stream\r\nX-Request-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

TEST_CASE("a refusal that is cut in the middle") {
  const std::string refusal = Refusal("r1");
  const size_t head = refusal.find("\r\n\r\n") + 4;
  for (size_t size = 0; size <= refusal.size(); size += 3) {
    CAPTURE(size);
    const systems::AnswerServer refusing(
        {{.bytes = refusal.substr(0, size), .keep_open = false}});
    RequestFixture fixture(1);
    fixture.gateway.state.directory.NoteRemoved({"reader"}, base::Now());
    fixture.Add("refusing", base::ParseAddress(refusing.Address()).port,
                EngineRole::kDecode);
    fixture.SendRequest([](const std::string&) {});
    // The whole head is the word of the server; without it nothing is known.
    CHECK(fixture.status == (size >= head ? 503 : 502));
  }
}

TEST_CASE("a cut copy of a refusal comes before the next answer") {
  const std::string refusal = Refusal("r1");
  for (size_t size = 1; size <= refusal.size(); size += 3) {
    CAPTURE(size);
    std::map<int, int> requests;
    int ran = 0;
    const systems::AnswerServer engine(
        [&](int connection, const std::string&) -> systems::Reply {
          if (++requests[connection] == 1 && connection == 1) {
            return {refusal, true};
          }
          ++ran;
          return {refusal.substr(0, size) + Events("r2"), true};
        });
    RequestFixture fixture(1);
    fixture.gateway.state.directory.NoteRemoved({"reader"}, base::Now());
    fixture.Add("engine", base::ParseAddress(engine.Address()).port,
                EngineRole::kDecode);
    fixture.SendRequest([](const std::string&) {});
    REQUIRE(fixture.status == 503);
    fixture.gateway.state.health =
        core::BackendHealth(core::BackendHealth::Settings{});
    fixture.SendRequest([](const std::string&) {},
                        tests::PromptRequest("shop.example", "/notes/1", "r2"));
    // It has run: whatever its caller is told, it isn't that it hasn't.
    CHECK(ran == 1);
    CHECK(requests[1] == 2);
    CHECK(fixture.status != 503);
  }
}

}  // namespace carawayvalve::gateway
