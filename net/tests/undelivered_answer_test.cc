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
  // Waits until an answer is known to be undelivered, for 20 seconds at most.
  void AwaitEnd() const {
    const base::Instant last = base::Now() + std::chrono::seconds(20);
    while (!this->ended && base::Now() < last) {
      std::this_thread::sleep_for(milliseconds(10));
    }
  }

  // How long a caller that reads nothing has; none for no deadline.
  std::optional<base::Duration> time;
  std::optional<UndeliveredAnswer> undelivered;
  std::atomic<bool> ended = false;
  base::Instant begun_at;
  base::Instant ended_at;
  EventLoop loop;
  std::optional<HttpServer> server{
      std::in_place, this->loop, base::Address{"127.0.0.1", 0},
      [this](const auto& exchange) {
        this->begun_at = base::Now();
        if (this->time.has_value()) {
          exchange->KeepUntil(this->begun_at + *this->time);
        }
        exchange->OnUndelivered([this](const UndeliveredAnswer& answer) {
          this->undelivered = answer;
          this->ended_at = base::Now();
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
  SUBCASE("as its host acknowledges nothing") {
    run([](SlowPeer& caller) { caller.FallSilent(); });
    CHECK(large.undelivered->end == DeliveryEnd::kSilent);
  }
  SUBCASE("as it has read nothing by the deadline") {
    large.time = milliseconds(4000);
    run([](SlowPeer&) {});
    CHECK(large.undelivered->end == DeliveryEnd::kUnread);
    CHECK(large.ended_at - large.begun_at >= *large.time);
    CHECK(large.ended_at - large.begun_at < *large.time + milliseconds(1000));
    CHECK(large.server->connections() == 0);
  }
  SUBCASE("as it reads nothing and there is no deadline") {
    const base::Duration limit = milliseconds(1000);
    large.server->SetLimits({.idle_timeout = limit});
    run([](SlowPeer&) {});
    CHECK(large.undelivered->end == DeliveryEnd::kUnread);
    CHECK(large.ended_at - large.begun_at >= limit);
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
