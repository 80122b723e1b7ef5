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

HttpRequest To(const std::string& address) {
  HttpRequest request;
  request.method = "POST";
  request.url = "http://" + address + "/ticket?a=1";
  request.body = "{}";
  return request;
}

// A head and one whole piece of a chunked body that has more to come.
const std::string kBrokenChunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n9\r\nw";

}  // namespace

TEST_CASE("HttpCall tells a call that was not sent from one without answer") {
  SUBCASE("given a refused connection, it was not sent") {
    const Listener refusing(kNotListening);
    const std::string call = "book slot at " + refusing.Address();
    CHECK_THROWS_WITH_AS(HttpCall("book slot", To(refusing.Address())),
                         doctest::Contains(call.c_str()), NotReachedError);
  }

  SUBCASE("given a peer that takes no connection in time, it was not sent") {
    const Listener full(0);
    const auto* to = reinterpret_cast<const sockaddr*>(&full.name);
    // These fill the queue; the system drops what comes after them.
    std::vector<int> fillers(4);
    for (int& filler : fillers) {
      filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      static_cast<void>(connect(filler, to, sizeof(full.name)));
    }
    HttpRequest request = To(full.Address());
    request.timeout = Milliseconds(100);
    CHECK_THROWS_AS(HttpCall("book slot", request), NotReachedError);
    for (const int filler : fillers) {
      close(filler);
    }
  }

  SUBCASE("given silence, nobody knows once the timeout is over") {
    AnswerServer server({{.bytes = "", .keep_open = true}});
    HttpRequest request = To(server.Address());
    request.timeout = Milliseconds(100);
    CHECK_THROWS_AS(HttpCall("book slot", request), UnknownOutcomeError);
  }

  SUBCASE("given a connection closed before the answer is whole, nobody does") {
    for (const char* bytes :
         {"", kBrokenChunks.c_str(), "HTTP/1.1 200 OK\r\nContent-Le",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
          "HTTP/1.1 100 Continue\r\n\r\n", "no HTTP\r\n\r\n"}) {
      CAPTURE(bytes);
      AnswerServer server({{.bytes = bytes}});
      CHECK_THROWS_AS(HttpCall("book slot", To(server.Address())),
                      UnknownOutcomeError);
    }
  }

  SUBCASE("given a request that can't be sent as it stands, it is not sent") {
    AnswerServer server({});
    std::vector<HttpRequest> requests(3, To(server.Address()));
    requests[0].timeout = Milliseconds(0);
    requests[1].headers = {{"X-Note", "a\r\nX-Account: other"}};
    requests[2].method = "GET / HTTP/1.1\r\nX:";
    for (const HttpRequest& request : requests) {
      CHECK_THROWS_AS(HttpCall("book slot", request), NotReachedError);
    }
    CHECK(server.Requests().empty());
  }
}

TEST_CASE("Given a kept connection that closes instead of answering") {
  SUBCASE("a call that may run at most once is not sent again") {
    AnswerServer server({JsonReply(200, "{}"), NoReply()});
    HttpRequest request = To(server.Address());
    HttpCall("warm up", request);
    request.at_most_once = true;
    CHECK_THROWS_AS(HttpCall("take deposit", request), UnknownOutcomeError);
    CHECK(server.Requests().size() == 2);
  }

  SUBCASE("another call is, and a refused second sending isn't the outcome") {
    AnswerServer server({JsonReply(200, "{}"),
                         NoReply(),
                         JsonReply(200, "{}"),
                         {.bytes = "", .stop_listening = true}});
    for (const char* step : {"warm up", "look up"}) {
      CHECK(HttpCall(step, To(server.Address())).status == 200);
    }
    CHECK_THROWS_AS(HttpCall("look up", To(server.Address())),
                    UnknownOutcomeError);
    CHECK(server.Requests().size() == 4);
  }
}

TEST_CASE("HttpCall sends what it was given and nothing else") {
  AnswerServer server(
      {{"HTTP/1.1 100 Continue\r\nX-Early: 1\r\n\r\n"
        "HTTP/1.1 302 Found\r\nLocation: /other\r\n"
        "retry-after:  7 \r\nContent-Length: 2\r\n\r\nok"}});
  HttpRequest request = To(server.Address());
  request.headers = {
      {"X-Empty", ""}, {"Content-Length", "99"}, {"Expect", "100-continue"}};
  const HttpResponse response = HttpCall("book slot", request);

  SUBCASE("the request has no headers of the library's own choice") {
    CHECK(server.Requests() ==
          std::vector<std::string>{
              "POST /ticket?a=1 HTTP/1.1\r\nHost: " + server.Address() +
              "\r\nX-Empty:\r\nContent-Length: 2\r\n\r\n{}"});
  }

  SUBCASE("the answer is the last one, and a redirect is not followed") {
    CHECK(response.status == 302);
    CHECK(response.body == "ok");
    CHECK(FindHeader(response.headers, "Retry-After") == "7");
    CHECK(FindHeader(response.headers, "X-Early").empty());
  }
}

TEST_CASE("HttpStream hands an answer over while it arrives") {
  AnswerServer server({JsonReply(200, "outer"), JsonReply(200, "inner")});
  std::string body;
  HttpSink sink;
  sink.body = [&body](const char* bytes, size_t count) {
    body.append(bytes, count);
    return true;
  };

  SUBCASE("given that it breaks off, what came was handed over") {
    AnswerServer breaking({{.bytes = kBrokenChunks}});
    CHECK_THROWS_AS(HttpStream("generate", To(breaking.Address()), sink),
                    UnknownOutcomeError);
    CHECK(body == "hellow");
  }

  SUBCASE("given a silent peer, it ends once it is cancelled") {
    AnswerServer silent({{.bytes = "", .keep_open = true}});
    sink.cancelled = [&silent] { return !silent.Requests().empty(); };
    CHECK_FALSE(HttpStream("generate", To(silent.Address()), sink));
  }

  SUBCASE("given a sink that wants no more, it ends") {
    sink.head = [](int, const std::vector<HttpHeader>&) { return false; };
    CHECK_FALSE(HttpStream("generate", To(server.Address()), sink));
    CHECK(body.empty());
  }

  SUBCASE("given a sink that throws, the caller gets its exception") {
    sink.body = [](const char*, size_t) -> bool {
      throw std::out_of_range("sink");
    };
    CHECK_THROWS_AS(HttpStream("generate", To(server.Address()), sink),
                    std::out_of_range);
  }

  SUBCASE("given a sink that makes a call of its own, both succeed") {
    std::string inner;
    sink.head = [&](int, const std::vector<HttpHeader>&) {
      inner = HttpCall("cancel", To(server.Address())).body;
      return true;
    };
    CHECK(HttpStream("generate", To(server.Address()), sink));
    CHECK(body + inner == "outerinner");
  }
}

}  // namespace carawayvalve::systems
