#include "carawayvalve/net/http_client.h"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "../../systems/tests/answer_server.h"

namespace carawayvalve::net {

namespace {

using systems::AnswerServer;
using systems::NoReply;
using systems::Reply;

// The events of one call.
struct Outcome {
  bool sent = false;
  bool kept_connection = false;
  int status = 0;
  BodyFraming framing = BodyFraming::kLength;
  std::string body;
  bool done = false;
  bool failed = false;
  bool not_sent = false;
  // What the skipped responses echo.
  std::vector<std::string> skipped;
};

struct Client {
  Outcome Call(const std::string& address, const CallOptions& options = {}) {
    Outcome outcome;
    EventLoop& event_loop = this->loop;
    this->call = this->client.Start(
        base::ParseAddress(address), {"POST", "/x", {}, "body"}, options,
        [&](const CallEvent& event) {
          if (const auto* sent = std::get_if<CallSent>(&event)) {
            outcome.sent = true;
            outcome.kept_connection = sent->kept_connection;
          } else if (const auto* head = std::get_if<CallHead>(&event)) {
            outcome.status = head->head.status;
            outcome.framing = head->framing;
          } else if (const auto* body = std::get_if<CallBody>(&event)) {
            outcome.body += body->data;
          } else if (const auto* skipped = std::get_if<CallSkipped>(&event)) {
            outcome.skipped.push_back(skipped->echo);
          } else {
            outcome.done = std::holds_alternative<CallDone>(event);
            if (const auto* failed = std::get_if<CallFailed>(&event)) {
              outcome.failed = true;
              outcome.not_sent = failed->not_sent;
            }
            event_loop.Stop();
          }
        });
    this->loop.Run();
    return outcome;
  }

  EventLoop loop;
  HttpClient client{loop, std::chrono::seconds(5)};
  std::unique_ptr<net::Call> call;
};

Reply Answer(const std::string& fields, const std::string& body) {
  return {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body,
          true};
}

CallOptions ExpectingId(const std::string& id) {
  CallOptions options;
  options.echo = {"X-Id", id};
  return options;
}

}  // namespace

TEST_CASE("HttpClient") {
  Client client;

  SUBCASE("keeps a connection for the next call") {
    AnswerServer server({Answer("", "one"), Answer("", "two")});
    CHECK(client.Call(server.Address()).body == "one");
    const Outcome second = client.Call(server.Address());
    CHECK(second.body == "two");
    CHECK(second.kept_connection);
    CHECK(client.client.connections_opened() == 1);
  }
  SUBCASE("opens a new connection when the call requires one") {
    AnswerServer server({Answer("", "one"), Answer("", "two")});
    client.Call(server.Address());
    CallOptions options;
    options.fresh_connection = true;
    CHECK_FALSE(client.Call(server.Address(), options).kept_connection);
  }
  // Guards against an extra answer that is taken for that of the next request.
  SUBCASE("uses no kept connection on which something has arrived since") {
    systems::Listener listener;
    std::thread server([&] {
      const int first = accept(listener.fd, nullptr, nullptr);
      std::array<char, 4096> request;
      CHECK(recv(first, request.data(), request.size(), 0) > 0);
      const std::string answer = Answer("", "one").bytes;
      send(first, answer.data(), answer.size(), MSG_NOSIGNAL);
      std::this_thread::sleep_for(base::Milliseconds(100));
      send(first, answer.data(), answer.size(), MSG_NOSIGNAL);
      const int second = accept(listener.fd, nullptr, nullptr);
      CHECK(recv(second, request.data(), request.size(), 0) > 0);
      const std::string other = Answer("", "two").bytes;
      send(second, other.data(), other.size(), MSG_NOSIGNAL);
      close(first);
      close(second);
    });
    CHECK(client.Call(listener.Address()).body == "one");
    // The loop doesn't run meanwhile, so that the extra answer waits.
    std::this_thread::sleep_for(base::Milliseconds(300));
    const Outcome second = client.Call(listener.Address());
    CHECK_FALSE(second.kept_connection);
    CHECK(second.body == "two");
    if (second.kept_connection) {
      const Outcome unblocks =
          client.Call(listener.Address(), {.fresh_connection = true});
      CHECK(unblocks.done);
    }
    server.join();
  }
  SUBCASE("keeps a connection for a call with another id") {
    AnswerServer server(
        {Answer("X-Id: 1\r\n", "one"), Answer("X-Id: 2\r\n", "two")});
    client.Call(server.Address(), ExpectingId("1"));
    CHECK(client.Call(server.Address(), ExpectingId("2")).kept_connection);
  }
  // Guards against a repeated response to an earlier call with the same id.
  SUBCASE("uses no kept connection for an id that it has carried") {
    const Reply declined = Answer("X-Id: 1\r\n", "declined");
    const Reply right = Answer("X-Id: 1\r\n", "right");
    AnswerServer server([&](int connection, const std::string& /*request*/) {
      return connection == 1 ? declined : right;
    });
    client.Call(server.Address(), ExpectingId("1"));
    CHECK(client.Call(server.Address(), ExpectingId("1")).body == "right");
    CHECK(client.client.idle_connections() == 2);
  }
  // The same after calls with other ids.
  SUBCASE("uses another kept connection for an id that one has carried") {
    AnswerServer server({Answer("X-Id: 1\r\n", ""), Answer("X-Id: 1\r\n", ""),
                         Answer("X-Id: 2\r\n", ""), Answer("X-Id: 2\r\n", ""),
                         Answer("X-Id: 1\r\n", "")});
    const auto is_kept = [&](const std::string& id) {
      return client.Call(server.Address(), ExpectingId(id)).kept_connection;
    };
    CHECK_FALSE(is_kept("1"));
    CHECK_FALSE(is_kept("1"));
    CHECK(is_kept("2"));
    CHECK(is_kept("2"));
    CHECK_FALSE(is_kept("1"));
  }
  // Guards against connections whose ids take ever more memory and time.
  SUBCASE("keeps no connection that has carried very many ids") {
    int answers = 0;
    AnswerServer server([&](int /*connection*/, const std::string&) {
      return Answer("X-Id: " + std::to_string(++answers) + "\r\n", "");
    });
    constexpr int kIds = 2000;
    for (int id = 1; id <= kIds; ++id) {
      client.Call(server.Address(), ExpectingId(std::to_string(id)));
    }
    CHECK(client.client.connections_opened() == 2);
  }
  // Guards against a repeated response to a call that expected nothing.
  SUBCASE("uses no kept connection for no id after a call without a field") {
    const Reply declined = Answer("", "declined");
    const Reply right = Answer("", "right");
    AnswerServer server([&](int connection, const std::string& /*request*/) {
      return connection == 1 ? declined : right;
    });
    client.Call(server.Address());
    CHECK(client.Call(server.Address(), ExpectingId("")).body == "right");
  }
  SUBCASE("uses a kept connection for one call that expects no id") {
    AnswerServer server(
        {Answer("", "one"), Answer("", "two"), Answer("X-Id: 1\r\n", "three")});
    client.Call(server.Address(), ExpectingId(""));
    CHECK_FALSE(client.Call(server.Address(), ExpectingId("")).kept_connection);
    CHECK(client.Call(server.Address(), ExpectingId("1")).kept_connection);
  }
  SUBCASE("keeps no connection that the server closes") {
    AnswerServer server({Answer("Connection: close\r\n", "one")});
    client.Call(server.Address());
    CHECK(client.client.idle_connections() == 0);
  }
  SUBCASE("keeps no connection whose keep-alive timeout is too short") {
    AnswerServer server({Answer("Keep-Alive: timeout=1\r\n", "one")});
    client.Call(server.Address());
    CHECK(client.client.idle_connections() == 0);
  }
  SUBCASE("doesn't resend a request when its kept connection closes") {
    AnswerServer server({Answer("", "one"), NoReply()});
    client.Call(server.Address());
    const Outcome second = client.Call(server.Address());
    CHECK(second.failed);
    CHECK_FALSE(second.not_sent);
    CHECK(server.Requests().size() == 2);
  }
  SUBCASE("reports that nothing was sent when it can't connect") {
    systems::Listener unreachable(systems::kNotListening);
    const Outcome outcome = client.Call(unreachable.Address());
    CHECK(outcome.failed);
    CHECK(outcome.not_sent);
  }
}

// Guards against idle connections that nobody uses.
TEST_CASE("HttpClient that keeps no connections") {
  AnswerServer server({Answer("Keep-Alive: timeout=9\r\n", "one")});
  EventLoop loop;
  HttpClient client(loop, base::Duration(0));
  const auto call =
      client.Start(base::ParseAddress(server.Address()), {"GET", "/", {}, {}},
                   {}, [&](const CallEvent& event) {
                     if (std::holds_alternative<CallDone>(event)) {
                       loop.Stop();
                     }
                   });
  loop.Run();
  CHECK(client.idle_connections() == 0);
}

TEST_CASE("HttpClient connecting without a call") {
  Client client;
  const auto connect = [&](const std::string& address) {
    std::optional<ConnectResult> result;
    client.client.Connect(base::ParseAddress(address), std::chrono::seconds(5),
                          [&](ConnectResult connected) {
                            result = connected;
                            client.loop.Stop();
                          });
    client.loop.Run();
    return result;
  };

  SUBCASE("keeps the connection for a call") {
    AnswerServer server({Answer("", "one")});
    CHECK(connect(server.Address()) == ConnectResult::kConnected);
    CHECK(client.client.idle_connections() == 1);
    CHECK(client.Call(server.Address()).body == "one");
    CHECK(client.client.connections_opened() == 1);
  }
  SUBCASE("reports that it was refused") {
    systems::Listener unreachable(systems::kNotListening);
    CHECK(connect(unreachable.Address()) == ConnectResult::kRefused);
    CHECK(client.client.idle_connections() == 0);
  }
}

TEST_CASE("HttpClient reading responses") {
  Client client;

  SUBCASE("skips the response to another request before its own") {
    const Reply late = Answer("X-Id: 1\r\n", "late");
    const Reply expected = Answer("X-Id: 2\r\n", "right");
    AnswerServer server({{late.bytes + expected.bytes, true}});
    const Outcome outcome = client.Call(server.Address(), ExpectingId("2"));
    CHECK(outcome.body == "right");
    CHECK(outcome.skipped == std::vector<std::string>{"1"});
  }
  SUBCASE("skips a response without the id before its own") {
    const Reply repeated = Answer("", "an earlier refusal");
    const Reply expected = Answer("X-Id: 2\r\n", "right");
    AnswerServer server({{repeated.bytes + expected.bytes, true}});
    const Outcome outcome = client.Call(server.Address(), ExpectingId("2"));
    CHECK(outcome.body == "right");
  }
  SUBCASE("fails when only a response without the id arrives") {
    AnswerServer server({{Answer("", "an earlier refusal").bytes, false}});
    const Outcome outcome = client.Call(server.Address(), ExpectingId("2"));
    CHECK(outcome.failed);
    CHECK(outcome.status == 0);
  }
  SUBCASE("fails when only the response to another request arrives") {
    AnswerServer server({{Answer("X-Id: 1\r\n", "late").bytes, false}});
    CHECK(client.Call(server.Address(), ExpectingId("2")).failed);
  }
  SUBCASE("doesn't reuse a connection with bytes after the response") {
    AnswerServer server({{Answer("", "one").bytes + "HTTP/1.1 200", true}});
    CHECK(client.Call(server.Address()).done);
    CHECK(client.client.idle_connections() == 0);
  }
  SUBCASE("reads a chunked response") {
    AnswerServer server(
        {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n",
          true}});
    const Outcome outcome = client.Call(server.Address());
    CHECK(outcome.done);
    CHECK(outcome.framing == BodyFraming::kChunked);
    CHECK(outcome.body == "onetwo");
  }
  SUBCASE("reads a response that ends with its connection") {
    AnswerServer server({{"HTTP/1.1 200 OK\r\n\r\nall of it", false}});
    const Outcome outcome = client.Call(server.Address());
    CHECK(outcome.done);
    CHECK(outcome.framing == BodyFraming::kConnectionClose);
    CHECK(outcome.body == "all of it");
  }
  SUBCASE("fails on a response shorter than its Content-Length") {
    AnswerServer server(
        {{"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", false}});
    CHECK(client.Call(server.Address()).failed);
  }
  SUBCASE("fails on a chunked response without its last chunk") {
    AnswerServer server(
        {{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\none\r\n",
          false}});
    CHECK(client.Call(server.Address()).failed);
  }
  SUBCASE("fails on bytes that aren't a response") {
    AnswerServer server({{"garbage\r\n\r\n", true}});
    CHECK(client.Call(server.Address()).failed);
  }
}

TEST_CASE("cancelling a call") {
  Client client;
  AnswerServer server({Answer("", "one"), Answer("", "two")});

  SUBCASE("stops its events") {
    bool event_received = false;
    auto call = client.client.Start(
        base::ParseAddress(server.Address()), {"GET", "/", {}, {}}, {},
        [&](const CallEvent&) { event_received = true; });
    call.reset();
    Timer timer(client.loop);
    timer.Start(base::Milliseconds(50), [&] { client.loop.Stop(); });
    client.loop.Run();
    CHECK_FALSE(event_received);
  }
  SUBCASE("resets the connection, so that the request can't arrive later") {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = base::ToSocketAddress({"127.0.0.1", 0});
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(listener, 1) == 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    auto call = client.client.Start(
        {"127.0.0.1", ntohs(address.sin_port)}, {"GET", "/", {}, {}}, {},
        [&](const CallEvent& event) {
          if (std::holds_alternative<CallSent>(event)) {
            client.loop.Stop();
          }
        });
    client.loop.Run();
    call.reset();
    const int accepted = accept(listener, nullptr, nullptr);
    std::array<char, 4096> buffer{};
    ssize_t received = 1;
    while (received > 0) {
      received = recv(accepted, buffer.data(), buffer.size(), 0);
    }
    // The reset discards what was still in flight.
    CHECK(received == -1);
    CHECK(errno == ECONNRESET);
    close(accepted);
    close(listener);
  }
  SUBCASE("keeps the connection of a call that has already ended") {
    client.Call(server.Address());
    client.call.reset();
    CHECK(client.client.idle_connections() == 1);
  }
}

}  // namespace carawayvalve::net
