#include "carawayvalve/systems/http_client.h"

#include <doctest/doctest.h>

#include <stdexcept>

#include "answer_server.h"
#include "carawayvalve/base/error.h"

namespace carawayvalve::systems {

namespace {

using base::Milliseconds;
using base::NotReachedError;
using base::UnknownOutcomeError;

HttpRequest MakeTicketRequest(const std::string& address) {
  HttpRequest request;
  request.method = "POST";
  request.url = "http://" + address + "/ticket?a=1";
  request.body = "{}";
  return request;
}

// A head and the first complete chunk of a chunked body that is not complete.
const std::string kBrokenChunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n9\r\nw";

}  // namespace

TEST_CASE("HttpCall distinguishes an unsent request from an unanswered one") {
  SUBCASE("given a refused connection, it was not sent") {
    const Listener refusing(kNotListening);
    const std::string call = "book slot at " + refusing.Address();
    CHECK_THROWS_WITH_AS(
        HttpCall("book slot", MakeTicketRequest(refusing.Address())),
        doctest::Contains(call.c_str()), NotReachedError);
  }

  SUBCASE("given a peer that accepts no connection in time, it was not sent") {
    const Listener full(0);
    const auto* to = reinterpret_cast<const sockaddr*>(&full.name);
    // These fill the accept queue; the system drops further connections.
    std::vector<int> fillers(4);
    for (int& filler : fillers) {
      filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      static_cast<void>(connect(filler, to, sizeof(full.name)));
    }
    HttpRequest request = MakeTicketRequest(full.Address());
    request.timeout = Milliseconds(100);
    CHECK_THROWS_AS(HttpCall("book slot", request), NotReachedError);
    for (const int filler : fillers) {
      close(filler);
    }
  }

  SUBCASE("given no answer, the outcome is unknown after the timeout") {
    AnswerServer server({{.bytes = "", .keep_open = true}});
    HttpRequest request = MakeTicketRequest(server.Address());
    request.timeout = Milliseconds(100);
    CHECK_THROWS_AS(HttpCall("book slot", request), UnknownOutcomeError);
  }

  SUBCASE(
      "given a connection closed within the answer, the outcome is unknown") {
    for (const char* bytes :
         {"", kBrokenChunks.c_str(), "HTTP/1.1 200 OK\r\nContent-Le",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
          "HTTP/1.1 100 Continue\r\n\r\n", "no HTTP\r\n\r\n"}) {
      CAPTURE(bytes);
      AnswerServer server({{.bytes = bytes}});
      CHECK_THROWS_AS(
          HttpCall("book slot", MakeTicketRequest(server.Address())),
          UnknownOutcomeError);
    }
  }

  SUBCASE("given an answer without end, the outcome is unknown") {
    const std::string run(size_t{512} * 1024, '0');
    std::string lines;
    while (lines.size() < run.size()) {
      lines += "X-Line: value\r\n";
    }
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    const std::vector<std::string> answers = {
        "HTTP/1.1 200 " + run, "HTTP/1.1 200 OK\r\nX-Line: " + run,
        "HTTP/1.1 200 OK\r\n" + lines, chunked + lines};
    for (const std::string& bytes : answers) {
      CAPTURE(bytes.substr(0, 64));
      AnswerServer server({{.bytes = bytes, .keep_open = true}});
      HttpRequest request = MakeTicketRequest(server.Address());
      request.timeout = Milliseconds(5000);
      const base::Instant begun = base::Now();
      CHECK_THROWS_AS(HttpCall("book slot", request), UnknownOutcomeError);
      CHECK(base::Now() - begun < request.timeout);
    }
  }

  SUBCASE("given an invalid request, it is not sent") {
    AnswerServer server({});
    std::vector<HttpRequest> requests(3, MakeTicketRequest(server.Address()));
    requests[0].timeout = Milliseconds(0);
    requests[1].headers = {{"X-Note", "a\r\nX-Account: other"}};
    requests[2].method = "GET / HTTP/1.1\r\nX:";
    for (const HttpRequest& request : requests) {
      CHECK_THROWS_AS(HttpCall("book slot", request), NotReachedError);
    }
    CHECK(server.Requests().empty());
  }
}

TEST_CASE("Given a call before, one that isn't answered is not resent") {
  HttpRequest request;
  SUBCASE("with a body") {
    request.method = "POST";
    request.body = "{}";
  }
  SUBCASE("without a body") {}

  SUBCASE("if its connection closes") {
    AnswerServer server(
        {JsonReply(200, "{}"), NoReply(), JsonReply(200, "{}")});
    request.url = "http://" + server.Address();
    CHECK(HttpCall("warm up", request).status == 200);
    CHECK_THROWS_AS(HttpCall("take deposit", request), UnknownOutcomeError);
    CHECK(server.Requests().size() == 2);
  }
  SUBCASE("if its connection closes and the peer accepts no other") {
    AnswerServer server({JsonReply(200, "{}"),
                         {.bytes = "", .stop_listening = true},
                         JsonReply(200, "{}")});
    request.url = "http://" + server.Address();
    CHECK(HttpCall("warm up", request).status == 200);
    CHECK_THROWS_AS(HttpCall("take deposit", request), UnknownOutcomeError);
    CHECK(server.Requests().size() == 2);
  }
}

TEST_CASE("HttpCall sends exactly the given request") {
  AnswerServer server(
      {{"HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n"
        "HTTP/1.1 302 Found\r\nLocation: /other\r\n"
        "retry-after:  7 \r\nContent-Length: 2\r\n\r\nok"}});
  HttpRequest request = MakeTicketRequest(server.Address());
  request.headers = {
      {"X-Empty", ""}, {"Content-Length", "99"}, {"Expect", "100-continue"}};
  const HttpResponse response = HttpCall("book slot", request);

  SUBCASE("the request has none of libcurl's default headers") {
    CHECK(server.Requests() ==
          std::vector<std::string>{
              "POST /ticket?a=1 HTTP/1.1\r\nHost: " + server.Address() +
              "\r\nX-Empty:\r\nContent-Length: 2\r\n\r\n{}"});
  }

  SUBCASE("the final answer is returned, and a redirect is not followed") {
    CHECK(response.status == 302);
    CHECK(response.body == "ok");
    CHECK(FindHeader(response.headers, "Retry-After") == "7");
    CHECK(FindHeader(response.headers, "X-Early").empty());
  }
}

TEST_CASE("HttpStream passes an answer on while it arrives") {
  AnswerServer server({JsonReply(200, "outer"), JsonReply(200, "inner")});
  std::string body;
  HttpSink sink;
  sink.body = [&body](const char* bytes, size_t count) {
    body.append(bytes, count);
    return true;
  };

  SUBCASE("given an answer that breaks off, the received part was passed on") {
    AnswerServer breaking({{.bytes = kBrokenChunks}});
    CHECK_THROWS_AS(
        HttpStream("generate", MakeTicketRequest(breaking.Address()), sink),
        UnknownOutcomeError);
    CHECK(body == "hellow");
  }

  SUBCASE("given a peer that never answers, it ends once it is cancelled") {
    AnswerServer silent({{.bytes = "", .keep_open = true}});
    sink.cancelled = [&silent] { return !silent.Requests().empty(); };
    CHECK_FALSE(
        HttpStream("generate", MakeTicketRequest(silent.Address()), sink));
  }

  SUBCASE("given a sink that returns false, it ends") {
    sink.head = [](int, const std::vector<HttpHeader>&) { return false; };
    CHECK_FALSE(
        HttpStream("generate", MakeTicketRequest(server.Address()), sink));
    CHECK(body.empty());
  }

  SUBCASE("given a sink that throws, the caller gets its exception") {
    sink.body = [](const char*, size_t) -> bool {
      throw std::out_of_range("sink");
    };
    CHECK_THROWS_AS(
        HttpStream("generate", MakeTicketRequest(server.Address()), sink),
        std::out_of_range);
  }

  SUBCASE("given a sink that makes a call of its own, both succeed") {
    std::string inner;
    sink.head = [&](int, const std::vector<HttpHeader>&) {
      inner = HttpCall("cancel", MakeTicketRequest(server.Address())).body;
      return true;
    };
    CHECK(HttpStream("generate", MakeTicketRequest(server.Address()), sink));
    CHECK(body + inner == "outerinner");
  }
}

}  // namespace carawayvalve::systems
