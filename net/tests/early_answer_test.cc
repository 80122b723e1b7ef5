// Guards against answers that are cut while their requests are still being
// written, and count as complete.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../../systems/tests/upload_server.h"
#include "carawayvalve/net/http_client.h"

namespace carawayvalve::net {

namespace {

using std::chrono::milliseconds;
using systems::EarlyAnswer;
using systems::UploadEnd;
using systems::UploadServer;

constexpr int kCalls = 8;
constexpr size_t kUploadBytes = size_t{4} * 1024 * 1024;

struct Outcome {
  std::string body;
  bool done = false;
};

Outcome Upload(const std::string& address) {
  EventLoop loop;
  HttpClient client(loop, std::chrono::seconds(5));
  Outcome outcome;
  const auto call = client.Start(
      base::ParseAddress(address),
      {"PUT", "/x", {}, std::string(kUploadBytes, 'x')}, {},
      [&](const CallEvent& event) {
        if (const auto* body = std::get_if<CallBody>(&event)) {
          outcome.body += body->data;
        }
        outcome.done = std::holds_alternative<CallDone>(event);
        if (outcome.done || std::holds_alternative<CallFailed>(event)) {
          loop.Stop();
        }
      });
  loop.Run();
  return outcome;
}

// Returns the bodies of those of eight calls that are done.
std::vector<std::string> DoneOf(const EarlyAnswer& answer) {
  const UploadServer server(answer);
  std::vector<std::string> bodies;
  for (int i = 0; i < kCalls; ++i) {
    Outcome outcome = Upload(server.Address());
    if (outcome.done) {
      bodies.push_back(std::move(outcome.body));
    }
  }
  return bodies;
}

// What the server has read of the request when it answers.
constexpr size_t kReadBefore[] = {0, size_t{200} * 1024, size_t{1024} * 1024};
constexpr char kHead[] = "HTTP/1.1 200 OK\r\nX-Note: a\r\n\r\n";

}  // namespace

TEST_CASE("an answer without a length is cut while its request is written") {
  std::string head = kHead;
  // While it is read, more of the request is written.
  std::string part(size_t{200} * 1024, 'a');
  UploadEnd end = UploadEnd::kReset;
  milliseconds pause(0);
  SUBCASE("by a reset") {}
  SUBCASE("by a reset, after a short part") {
    part.resize(200);
  }
  SUBCASE("by a close with unread input") {
    end = UploadEnd::kCloseUnread;
  }
  SUBCASE("by a reset some time later") {
    pause = milliseconds(100);
  }
  SUBCASE("by a reset behind its head") {
    part.clear();
  }
  SUBCASE("by a reset, and is of HTTP/1.0") {
    head = "HTTP/1.0 200 OK\r\n\r\n";
  }
  SUBCASE("by a reset, and says that its connection closes") {
    head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
  }
  SUBCASE("by a reset, and is a 500") {
    head = "HTTP/1.1 500 Failed\r\n\r\n";
  }
  for (const size_t read_before : kReadBefore) {
    CAPTURE(read_before);
    CHECK(DoneOf({head + part, end, read_before, pause}).size() == 0);
  }
}

TEST_CASE("an answer of known length is cut while its request is written") {
  const std::string part(200, 'a');
  std::string head;
  SUBCASE("with a length") {
    head = "HTTP/1.1 200 OK\r\nContent-Length: 201\r\n\r\n";
  }
  SUBCASE("in chunks") {
    head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc9\r\n";
  }
  for (const size_t read_before : kReadBefore) {
    CAPTURE(read_before);
    CHECK(DoneOf({head + part, UploadEnd::kReset, read_before}).size() == 0);
  }
}

TEST_CASE("a whole answer comes while its request is written") {
  const std::string body(200, 'a');
  EarlyAnswer answer{kHead + body, UploadEnd::kFinish};
  SUBCASE("without a length, before the connection's end") {}
  SUBCASE("without a length, before its end and a later reset") {
    answer.end = UploadEnd::kFinishThenReset;
  }
  SUBCASE("with a length, before a reset") {
    answer = {"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + body,
              UploadEnd::kReset};
  }
  for (const size_t read_before : kReadBefore) {
    CAPTURE(read_before);
    answer.read_before = read_before;
    CHECK(DoneOf(answer) == std::vector<std::string>(kCalls, body));
  }
}

}  // namespace carawayvalve::net
