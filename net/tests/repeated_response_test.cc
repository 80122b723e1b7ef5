// Guards against a repeated response to an earlier request that is taken for
// that to the next one, whatever its framing and wherever it is cut.
#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "../../systems/tests/answer_server.h"
#include "carawayvalve/net/http_client.h"

namespace carawayvalve::net {

namespace {

using systems::AnswerServer;

const std::string kRight =
    "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 5\r\n\r\nright";

struct Outcome {
  std::optional<int> status;
  std::string body;
  bool kept_connection = false;
  bool done = false;
};

Outcome Call(EventLoop& loop,
             HttpClient& client,
             const std::string& address,
             const Request& request,
             const std::string& id) {
  Outcome outcome;
  CallOptions options;
  options.echo = {"X-Id", id};
  const auto call = client.Start(
      base::ParseAddress(address), request, options,
      [&](const CallEvent& event) {
        if (const auto* sent = std::get_if<CallSent>(&event)) {
          outcome.kept_connection = sent->kept_connection;
        } else if (const auto* head = std::get_if<CallHead>(&event)) {
          outcome.status = head->head.status;
        } else if (const auto* body = std::get_if<CallBody>(&event)) {
          outcome.body += body->data;
        } else if (!std::holds_alternative<CallSkipped>(event)) {
          outcome.done = std::holds_alternative<CallDone>(event);
          loop.Stop();
        }
      });
  Timer end(loop);
  end.Start(std::chrono::seconds(1), [&] { loop.Stop(); });
  loop.Run();
  return outcome;
}

// The outcome of a call whose response follows such bytes on a connection that
// has carried another call.
Outcome CallAfter(const std::string& bytes,
                  size_t piece,
                  const std::string& method = "POST") {
  const std::string first =
      "HTTP/1.1 503 Full\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n";
  systems::Reply second = {bytes + kRight};
  second.piece = piece;
  second.pause = std::chrono::milliseconds(2);
  AnswerServer server({{first, true}, second});
  EventLoop loop;
  HttpClient client(loop, std::chrono::seconds(5));
  const Outcome earlier =
      Call(loop, client, server.Address(), {"POST", "/x", {}, ""}, "1");
  CHECK(earlier.status == 503);
  Outcome outcome =
      Call(loop, client, server.Address(), {method, "/x", {}, ""}, "2");
  CHECK(outcome.kept_connection);
  return outcome;
}

std::string Copy(const std::string& framing, const std::string& body) {
  return "HTTP/1.1 503 Full\r\nX-Id: 1\r\nX-Declined: 1\r\n" + framing +
         "\r\n\r\n" + body;
}

// The same with the id behind the other fields.
std::string CopyWithLateId(const std::string& framing,
                           const std::string& body) {
  return "HTTP/1.1 503 Full\r\nX-Declined: 1\r\n" + framing +
         "\r\nX-Id: 1\r\n\r\n" + body;
}

}  // namespace

TEST_CASE("a response to an earlier request is repeated") {
  const std::vector<std::string> copies = {
      Copy("Content-Length: 0", ""),
      Copy("Content-Length: 4", "full"),
      Copy("Transfer-Encoding: chunked", "4\r\nfull\r\n0\r\n\r\n"),
      Copy("Transfer-Encoding: chunked", "4\r\nfull\r\n0\r\nX-Id: 2\r\n\r\n"),
      "HTTP/1.1 100 Continue\r\n\r\n" + Copy("Content-Length: 0", ""),
      "HTTP/1.1 103 Early\r\nX-Id: 2\r\n\r\n" + Copy("Content-Length: 0", ""),
      Copy("Content-Length: 0\r\nX-Id: 2", ""),
      CopyWithLateId("Content-Length: 4", "full"),
  };
  for (const std::string& copy : copies) {
    CAPTURE(copy);
    for (const size_t piece : {size_t{0}, size_t{1}, size_t{7}}) {
      CAPTURE(piece);
      const Outcome outcome = CallAfter(copy, piece);
      CHECK(outcome.done);
      CHECK(outcome.status == 200);
      CHECK(outcome.body == "right");
    }
  }
}

TEST_CASE("a repeated response is cut, and the next one follows") {
  for (const std::string& copy :
       {Copy("Content-Length: 4", "full"),
        CopyWithLateId("Content-Length: 4", "full"),
        Copy("Transfer-Encoding: chunked", "4\r\nfull\r\n0\r\n\r\n")}) {
    for (size_t size = 1; size < copy.size(); ++size) {
      CAPTURE(copy.substr(0, size));
      const Outcome outcome = CallAfter(copy.substr(0, size), 0);
      CHECK(outcome.status.value_or(200) == 200);
      CHECK((!outcome.done || outcome.body == "right"));
    }
  }
}

TEST_CASE("a repeated response has a body that the next request gets none of") {
  for (const std::string& method : std::vector<std::string>{"HEAD", "POST"}) {
    CAPTURE(method);
    const Outcome outcome = CallAfter(
        Copy("Content-Length: 4", method == "HEAD" ? "full" : ""), 0, method);
    CHECK(outcome.status.value_or(200) == 200);
    CHECK((!outcome.done || method == "HEAD"));
  }
}

}  // namespace carawayvalve::net
