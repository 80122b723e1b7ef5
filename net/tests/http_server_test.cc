#include "carawayvalve/net/http_server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>
#include <vector>

#include "loop_thread.h"
#include "raw_caller.h"

namespace carawayvalve::net {

namespace {

constexpr char kNextRequest[] = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";

// A server that answers each request with its path and body.
struct EchoServer {
  EchoServer()
      : server(this->loop, {"127.0.0.1", 0}, [this](const auto& exchange) {
          this->paths.push_back(exchange->request().target);
          exchange->Respond(
              {{200, {}},
               exchange->request().target + "|" + exchange->request().body});
        }) {}

  // Sends the bytes on one connection and returns everything received until the
  // server closes it.
  std::string SendAndReadAll(const std::string& bytes) {
    std::string answer;
    RunWhile(this->loop, [&] {
      RawCaller caller(this->server.port());
      caller.Send(bytes);
      answer = caller.ReadAll();
    });
    return answer;
  }

  EventLoop loop;
  std::vector<std::string> paths;
  HttpServer server;
};

std::string StatusOf(const std::string& answer) {
  return answer.substr(0, std::string("HTTP/1.1 200").size());
}

}  // namespace

TEST_CASE("HttpServer answers") {
  EchoServer echo;

  SUBCASE("pipelined requests in order") {
    const std::string answer = echo.SendAndReadAll(
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz"
        "GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(answer.find("/a|xyz") < answer.find("/b|"));
    CHECK(echo.paths == std::vector<std::string>{"/a", "/b"});
  }
  SUBCASE("a request with a chunked body") {
    const std::string answer = echo.SendAndReadAll(
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "Connection: close\r\n\r\n2\r\nxy\r\n1\r\nz\r\n0\r\n\r\n");
    CHECK(answer.find("/a|xyz") != std::string::npos);
  }
  SUBCASE("a request that expects 100 Continue") {
    std::string answer;
    RunWhile(echo.loop, [&] {
      RawCaller caller(echo.server.port());
      caller.Send(
          "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
          "Expect: 100-continue\r\nConnection: close\r\n\r\n");
      answer = caller.ReadUntil("100 Continue\r\n\r\n");
      caller.Send("xyz");
      answer += caller.ReadAll();
    });
    CHECK(answer.find("/a|xyz") != std::string::npos);
  }
  SUBCASE("with a body that ends with its connection") {
    HttpServer server(echo.loop, {"127.0.0.1", 0}, [](const auto& exchange) {
      exchange->Begin({200, {}}, BodyFraming::kConnectionClose);
      exchange->Send("all ");
      exchange->Send("of it");
      exchange->Finish();
    });
    std::string answer;
    RunWhile(echo.loop, [&] {
      RawCaller caller(server.port());
      caller.Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
      answer = caller.ReadAll();
    });
    CHECK(answer == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it");
  }
  // Guards against bytes that a caller reads as the next answer (issue 67).
  SUBCASE("HEAD with a head alone, also in parts") {
    for (const auto framing :
         {BodyFraming::kChunked, BodyFraming::kConnectionClose}) {
      HttpServer server(echo.loop, {"127.0.0.1", 0}, [&](const auto& exchange) {
        exchange->Begin({200, {}}, framing);
        exchange->Send("event");
        exchange->Finish();
      });
      std::string answer;
      RunWhile(echo.loop, [&] {
        RawCaller caller(server.port());
        caller.Send("HEAD /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        answer = caller.ReadAll();
      });
      CHECK(answer.starts_with("HTTP/1.1 200 OK\r\n"));
      CHECK(answer.find("\r\n\r\n") + 4 == answer.size());
    }
  }
  SUBCASE("with Connection: close after CloseAfterAnswers") {
    echo.server.CloseAfterAnswers();
    const std::string answer =
        echo.SendAndReadAll("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(answer.find("Connection: close") != std::string::npos);
  }
}

// Guards against connections that are closed under a request on its way while
// the process stops.
TEST_CASE("HttpServer closes idle connections") {
  EchoServer echo;
  const auto close_idle = [&](base::Duration silence) {
    std::promise<void> closed;
    echo.loop.Post([&] {
      echo.server.CloseIdle(silence);
      closed.set_value();
    });
    closed.get_future().wait();
  };
  std::string answer;
  bool ended = false;
  RunWhile(echo.loop, [&] {
    RawCaller caller(echo.server.port());
    close_idle(std::chrono::seconds(10));
    caller.Send(kNextRequest);
    answer = caller.ReadUntil("/next|");
    close_idle(base::Duration(0));
    caller.ReadAll();
    ended = caller.ended();
  });

  SUBCASE("but not one that was just opened") {
    CHECK(StatusOf(answer) == "HTTP/1.1 200");
  }
  SUBCASE("and one that was silent for long enough") {
    CHECK(ended);
  }
}

TEST_CASE("HttpServer rejects the request and closes the connection for") {
  EchoServer echo;
  const auto refusal_status = [&](const std::string& bytes) {
    // The bytes after the rejected request must not be parsed as another one.
    const std::string answer = echo.SendAndReadAll(bytes + kNextRequest);
    CHECK(echo.paths.empty());
    return StatusOf(answer);
  };

  SUBCASE("a malformed head") {
    CHECK(refusal_status("GET\r\n\r\n") == "HTTP/1.1 400");
  }
  SUBCASE("both Content-Length and Transfer-Encoding") {
    CHECK(refusal_status("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
          "HTTP/1.1 400");
  }
  SUBCASE("two Content-Length fields") {
    CHECK(refusal_status("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
                         "Content-Length: 2\r\n\r\nxy") == "HTTP/1.1 400");
  }
  SUBCASE("an unknown transfer encoding") {
    CHECK(refusal_status("POST /a HTTP/1.1\r\nHost: a\r\n"
                         "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n") ==
          "HTTP/1.1 400");
  }
  SUBCASE("HTTP/1.0") {
    CHECK(refusal_status("GET /a HTTP/1.0\r\nHost: a\r\n\r\n") ==
          "HTTP/1.1 400");
  }
  SUBCASE("a head over the limit") {
    CHECK(refusal_status(
              "GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'x') +
              "\r\n\r\n") == "HTTP/1.1 431");
  }
  SUBCASE("a body over the limit") {
    CHECK(refusal_status("POST /a HTTP/1.1\r\nHost: a\r\n"
                         "Content-Length: 99999999\r\n\r\n") == "HTTP/1.1 413");
  }
  SUBCASE("a head that isn't complete within its timeout") {
    echo.server.SetLimits({.header_timeout = base::Milliseconds(100)});
    CHECK(StatusOf(echo.SendAndReadAll("GET /a HTTP/1.1\r\nHost:")) ==
          "HTTP/1.1 408");
  }
}

TEST_CASE("HttpServer closes an idle connection") {
  EchoServer echo;
  echo.server.SetLimits({.idle_timeout = base::Milliseconds(100)});
  CHECK(echo.SendAndReadAll("").empty());
}

TEST_CASE("an answer in parts") {
  EventLoop loop;
  std::shared_ptr<Exchange> pending;
  std::atomic<bool> disconnected = false;
  HttpServer server(loop, {"127.0.0.1", 0}, [&](const auto& exchange) {
    pending = exchange;
    exchange->OnDisconnect([&] { disconnected = true; });
    exchange->Begin({200, {{"X-Mark", "1"}}});
    exchange->Send("one");
  });

  SUBCASE("ends with the last chunk when finished") {
    std::string answer;
    RunWhile(loop, [&] {
      RawCaller caller(server.port());
      caller.Send(kNextRequest);
      answer = caller.ReadUntil("one\r\n");
      loop.Post([&] {
        pending->Send("two");
        pending->Finish();
      });
      answer += caller.ReadUntil("0\r\n\r\n");
    });
    CHECK(answer.find("X-Mark: 1") != std::string::npos);
    CHECK(answer.find("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n") !=
          std::string::npos);
    CHECK_FALSE(disconnected);
  }
  SUBCASE("has no last chunk when aborted") {
    std::string answer;
    bool ended = false;
    RunWhile(loop, [&] {
      RawCaller caller(server.port());
      caller.Send(kNextRequest);
      answer = caller.ReadUntil("one\r\n");
      loop.Post([&] { pending->Abort(); });
      answer += caller.ReadAll();
      ended = caller.ended();
    });
    CHECK(ended);
    CHECK(answer.find("0\r\n\r\n") == std::string::npos);
  }
  SUBCASE("is aborted by a second answer") {
    std::string answer;
    RunWhile(loop, [&] {
      RawCaller caller(server.port());
      caller.Send(kNextRequest);
      answer = caller.ReadUntil("one\r\n");
      loop.Post([&] { pending->Respond({{503, {}}, "no"}); });
      answer += caller.ReadAll();
    });
    CHECK(answer.find("503") == std::string::npos);
    CHECK(answer.find("0\r\n\r\n") == std::string::npos);
  }
  SUBCASE("reports that the caller has disconnected") {
    RunWhile(loop, [&] {
      {
        RawCaller caller(server.port());
        caller.Send(kNextRequest);
        caller.ReadUntil("one\r\n");
      }
      while (!disconnected) {
        std::this_thread::yield();
      }
    });
    CHECK(pending->disconnected());
  }
  pending.reset();
}

}  // namespace carawayvalve::net
