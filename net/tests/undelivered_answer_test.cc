// Guards against answers that are cut off without a trace: whoever looks for
// one must learn why its connection ended, and how much of it was left.

#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include "carawayvalve/net/http_server.h"
#include "loop_thread.h"
#include "slow_peer.h"

namespace carawayvalve::net {

namespace {

using std::chrono::milliseconds;

constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr char kEndOfHead[] = "\r\n\r\n";
// More than the system takes over for a caller that doesn't read.
constexpr size_t kAnswerBytes = size_t{16} * 1024 * 1024;

// A server that answers with 16 MB.
struct LargeServer {
  // Waits until an answer is known to be undelivered.
  void AwaitEnd() const {
    while (!this->ended) {
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  std::optional<UndeliveredAnswer> undelivered;
  std::atomic<bool> ended = false;
  EventLoop loop;
  std::optional<HttpServer> server{
      std::in_place, this->loop, base::Address{"127.0.0.1", 0},
      [this](const auto& exchange) {
        exchange->OnUndelivered([this](const UndeliveredAnswer& answer) {
          this->undelivered = answer;
          this->ended = true;
        });
        exchange->Respond({{200, {}}, std::string(kAnswerBytes, 'x')});
      }};
};

}  // namespace

TEST_CASE("a caller doesn't receive the whole answer") {
  LargeServer large;
  const auto run = [&](const std::function<void(SlowPeer&)>& act) {
    RunWhile(large.loop, [&] {
      SlowPeer caller = SlowPeer::Connect(large.server->port());
      caller.Send(kRequest);
      caller.ReadUntil(kEndOfHead);
      act(caller);
      large.AwaitEnd();
    });
    REQUIRE(large.undelivered.has_value());
    CHECK(large.undelivered->bytes_left > 0);
    CHECK(large.undelivered->bytes_left <= kAnswerBytes);
  };

  SUBCASE("as it closes the connection") {
    run([](SlowPeer& caller) { caller.Close(); });
    CHECK(large.undelivered->end == DeliveryEnd::kGone);
  }
  SUBCASE("as the server is closed") {
    run([&](SlowPeer&) { large.loop.Post([&] { large.server.reset(); }); });
    CHECK(large.undelivered->end == DeliveryEnd::kStop);
  }
}

TEST_CASE("a caller that receives the whole answer closes its connection") {
  EventLoop loop;
  bool undelivered = false;
  HttpServer server(loop, {"127.0.0.1", 0}, [&](const auto& exchange) {
    exchange->OnUndelivered([&](const auto&) { undelivered = true; });
    exchange->Respond({{200, {}}, "all"});
  });
  RunWhile(loop, [&] {
    SlowPeer caller = SlowPeer::Connect(server.port());
    caller.Send(kRequest);
    caller.ReadUntil("all");
    caller.Close();
    std::this_thread::sleep_for(milliseconds(300));
  });
  CHECK(server.connections() == 0);
  CHECK_FALSE(undelivered);
}

}  // namespace carawayvalve::net
