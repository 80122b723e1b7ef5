// Guards against a response that stops in its head, or before its end, and is
// passed on as if it were complete.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../../systems/tests/answer_server.h"
#include "carawayvalve/net/http_client.h"

namespace carawayvalve::net {

namespace {

struct CutResponse {
  std::string name;
  std::string bytes;
  // Without a length, an orderly close after the head is the end.
  bool ends_with_connection = false;
};

std::vector<CutResponse> Responses() {
  const std::string field = "X-Note: a\r\n";
  return {
      {"with a length", "HTTP/1.1 200 OK\r\n" + field +
                            "Content-Length: 12\r\n\r\nhello, world"},
      {"in chunks", "HTTP/1.1 200 OK\r\n" + field +
                        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n"
                        ", world\r\n0\r\n\r\n"},
      {"after an interim one",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 "
       "OK\r\nContent-Length: 2\r\n\r\nok"},
      {"without a length", "HTTP/1.1 200 OK\r\n" + field + "\r\nhello", true},
      {"of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + field + "\r\nhello", true},
      {"of HTTP/1.0 with a length",
       "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
  };
}

// Returns whether a call that gets these bytes, and then the end of its
// connection, is done.
bool IsDone(const std::string& bytes, bool reset) {
  const systems::AnswerServer server(
      {{.bytes = bytes, .keep_open = false, .reset = reset}});
  EventLoop loop;
  HttpClient client(loop, std::chrono::seconds(5));
  bool done = false;
  const auto call =
      client.Start(base::ParseAddress(server.Address()), {"GET", "/x", {}, ""},
                   {}, [&](const CallEvent& event) {
                     done = std::holds_alternative<CallDone>(event);
                     if (done || std::holds_alternative<CallFailed>(event)) {
                       loop.Stop();
                     }
                   });
  loop.Run();
  return done;
}

}  // namespace

TEST_CASE("a response that is cut anywhere fails its call") {
  for (const CutResponse& response : Responses()) {
    const size_t body = response.bytes.find("\r\n\r\n") + 4;
    for (size_t size = 0; size <= response.bytes.size(); ++size) {
      CAPTURE(response.name);
      CAPTURE(size);
      const std::string part = response.bytes.substr(0, size);
      const bool is_whole = response.ends_with_connection
                                ? size >= body
                                : size == response.bytes.size();
      CHECK(IsDone(part, false) == is_whole);
      if (!is_whole || response.ends_with_connection) {
        CHECK_FALSE(IsDone(part, true));
      }
    }
  }
}

}  // namespace carawayvalve::net
