// Guards against bytes of a server in trouble that count as an answer.
#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "../../systems/tests/answer_server.h"
#include "../../systems/tests/odd_heads.h"
#include "carawayvalve/net/http_client.h"

namespace carawayvalve::net {

namespace {

// Returns the status and body of a call that is done, as "200 body".
std::optional<std::string> AnswerTo(const std::string& bytes) {
  const systems::AnswerServer server({{.bytes = bytes, .keep_open = false}});
  EventLoop loop;
  HttpClient client(loop, std::chrono::seconds(5));
  std::string answer;
  bool done = false;
  const auto call = client.Start(
      base::ParseAddress(server.Address()), {"POST", "/x", {}, "body"}, {},
      [&](const CallEvent& event) {
        if (const auto* head = std::get_if<CallHead>(&event)) {
          answer = std::to_string(head->head.status) + " ";
        } else if (const auto* body = std::get_if<CallBody>(&event)) {
          answer += body->data;
        }
        done = std::holds_alternative<CallDone>(event);
        if (done || std::holds_alternative<CallFailed>(event)) {
          loop.Stop();
        }
      });
  loop.Run();
  return done ? std::optional(answer) : std::nullopt;
}

void CheckThatAllFail(const std::vector<systems::OddAnswer>& answers) {
  for (const auto& answer : answers) {
    CAPTURE(answer.first);
    CHECK_FALSE(AnswerTo(answer.second).has_value());
  }
}

}  // namespace

TEST_CASE("what a server in trouble sends is no answer") {
  SUBCASE("with a status that is none") {
    CheckThatAllFail(systems::OddStatuses());
  }
  SUBCASE("with a line in its head that is no field") {
    CheckThatAllFail(systems::OddFields());
  }
  SUBCASE("with a transfer coding that isn't undone here") {
    CheckThatAllFail(systems::OddCodings());
  }
  SUBCASE("with an end that can't be told") {
    CheckThatAllFail(systems::OddLengths());
  }
}

// A status of three digits is valid in HTTP; an unknown one counts as its
// class, and one over 599 as a server's error.
TEST_CASE("an unknown status is passed on as it is") {
  for (const char* status : {"299", "418", "600", "999"}) {
    CHECK(AnswerTo("HTTP/1.1 " + std::string(status) +
                   " Odd\r\nContent-Length: 2\r\n\r\nok") ==
          std::string(status) + " ok");
  }
}

TEST_CASE("a body in the codings that need no undoing is an answer") {
  for (const char* coding : {"chunked", "Chunked", " chunked "}) {
    CAPTURE(coding);
    CHECK(AnswerTo(
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) +
              "\r\n\r\n2\r\nok\r\n0\r\n\r\n") == "200 ok");
  }
  CHECK(AnswerTo("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nok") ==
        "200 ok");
}

}  // namespace carawayvalve::net
