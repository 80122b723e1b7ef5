// Guards against connections that end because the peer reads slowly: TCP can't
// tell one that reads nothing for a while from one that is gone, unless its
// acknowledgements are looked at.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "carawayvalve/net/http_client.h"
#include "carawayvalve/net/http_server.h"
#include "loop_thread.h"
#include "slow_peer.h"

namespace carawayvalve::net {

namespace {

using std::chrono::milliseconds;

constexpr char kEndOfHead[] = "\r\n\r\n";
// A silent peer is noticed within this time.
constexpr milliseconds kNoticed(4500);
// So long is a peer paused that the system's own timeout would have ended its
// connection.
constexpr milliseconds kPause(3400);

std::string PrintGet(const std::string& path, const std::string& fields = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

// A server that answers /N with N bytes.
struct SizeServer {
  EventLoop loop;
  HttpServer server{loop, {"127.0.0.1", 0}, [](const auto& exchange) {
                      const std::string& target = exchange->request().target;
                      const auto size =
                          static_cast<size_t>(std::stoul(target.substr(1)));
                      exchange->Respond({{200, {}}, std::string(size, 'x')});
                    }};
};

// How a caller reads its answer after the head.
struct Reading {
  std::string name;
  size_t size = 0;
  std::function<void(SlowPeer&)> read_slowly;
  std::string fields = {};
};

// Reads `count` times 1 KB, one each `interval`.
void ReadSteadily(SlowPeer& caller, int count, milliseconds interval) {
  for (int i = 0; i < count && caller.Read(1024); ++i) {
    std::this_thread::sleep_for(interval);
  }
}

// Returns whether the caller receives the whole answer.
bool ReceivesWhole(uint16_t port, const Reading& reading) {
  SlowPeer caller = SlowPeer::Connect(port);
  caller.Send(PrintGet("/" + std::to_string(reading.size), reading.fields));
  if (!caller.ReadUntil(kEndOfHead)) {
    return false;
  }
  const size_t head = caller.received().find(kEndOfHead) + 4;
  reading.read_slowly(caller);
  return caller.ReadTotal(head + reading.size);
}

}  // namespace

TEST_CASE("a caller reads its answer slowly and receives all of it") {
  const std::vector<Reading> readings = {
      {"pauses after the head", 400000,
       [](SlowPeer&) { std::this_thread::sleep_for(kPause); }},
      {"pauses for longer", 6000,
       [](SlowPeer&) { std::this_thread::sleep_for(kPause * 2); }},
      {"reads steadily, without a pause", 30000,
       [](SlowPeer& caller) { ReadSteadily(caller, 20, milliseconds(200)); }},
      {"pauses twice for less", 60000,
       [](SlowPeer& caller) {
         ReadSteadily(caller, 10, milliseconds(20));
         std::this_thread::sleep_for(milliseconds(2900));
         ReadSteadily(caller, 10, milliseconds(20));
         std::this_thread::sleep_for(milliseconds(1200));
       }},
  };
  SizeServer sizes;
  std::vector<int> whole(readings.size());
  RunWhile(sizes.loop, [&] {
    std::vector<std::function<void()>> callers;
    for (size_t i = 0; i < readings.size(); ++i) {
      callers.emplace_back([&, i] {
        whole[i] = ReceivesWhole(sizes.server.port(), readings[i]) ? 1 : 0;
      });
    }
    RunTogether(callers);
  });
  for (size_t i = 0; i < readings.size(); ++i) {
    CAPTURE(readings[i].name);
    CHECK(whole[i] == 1);
  }
}

// Guards against answers that are cut off by a stop, or as their connection
// counts as idle, while their callers still read them.
TEST_CASE("a connection isn't idle while its caller reads the answer") {
  SizeServer sizes;
  bool whole = false;

  SUBCASE("so that a stop doesn't close it") {
    RunWhile(sizes.loop, [&] {
      whole = ReceivesWhole(sizes.server.port(),
                            {"is paused by a stop", 8000000, [&](SlowPeer&) {
                               std::this_thread::sleep_for(milliseconds(500));
                               sizes.loop.Post([&] {
                                 sizes.server.CloseIdle(milliseconds(200));
                               });
                               std::this_thread::sleep_for(milliseconds(500));
                             }});
    });
  }
  SUBCASE("however long it takes") {
    sizes.server.SetLimits({.idle_timeout = milliseconds(1500)});
    RunWhile(sizes.loop, [&] {
      whole = ReceivesWhole(sizes.server.port(),
                            {"reads for long", 8000000, [](SlowPeer& caller) {
                               ReadSteadily(caller, 20, milliseconds(200));
                             }});
    });
  }
  SUBCASE("so that it isn't closed after the last answer") {
    RunWhile(sizes.loop, [&] {
      whole = ReceivesWhole(
          sizes.server.port(),
          {"pauses before the end", 6000,
           [](SlowPeer&) { std::this_thread::sleep_for(kPause * 2); },
           "Connection: close\r\n"});
    });
  }
  CHECK(whole);
}

namespace {

// A call with a body of 3 MB to a server that a test plays.
struct LargeCall {
  // Runs until the call has ended; `serve` plays the server meanwhile.
  void Run(const std::function<void(SlowPeer&)>& serve) {
    const SlowListener listener;
    const base::Instant begun = base::Now();
    const auto call = this->client.Start(
        {"127.0.0.1", listener.port()},
        {"POST", "/x", {}, std::string(size_t{3} * 1024 * 1024, 'x')}, {},
        [&](const CallEvent& event) {
          if (std::holds_alternative<CallDone>(event) ||
              std::holds_alternative<CallFailed>(event)) {
            this->done = std::holds_alternative<CallDone>(event);
            this->time = base::Now() - begun;
            this->loop.Stop();
          }
        });
    std::thread server([&] {
      SlowPeer connection = listener.Accept();
      serve(connection);
    });
    this->loop.Run();
    server.join();
  }

  EventLoop loop;
  HttpClient client{loop, std::chrono::seconds(5)};
  bool done = false;
  base::Duration time{};
};

}  // namespace

TEST_CASE("a server reads a large request slowly and answers it") {
  LargeCall call;
  call.Run([](SlowPeer& connection) {
    std::this_thread::sleep_for(kPause);
    connection.ReadTotal(size_t{3} * 1024 * 1024);
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  CHECK(call.done);
}

TEST_CASE("a silent server is noticed") {
  LargeCall call;
  call.Run([](SlowPeer& connection) {
    connection.FallSilent();
    std::this_thread::sleep_for(kNoticed);
  });
  CHECK_FALSE(call.done);
  CHECK(call.time < kNoticed);
}

namespace {

// A server whose answer is a stream that goes on until the caller has left.
struct EndlessServer {
  EndlessServer() { this->SendMore(); }

  void SendMore() {
    if (this->exchange != nullptr && !this->left_at.has_value()) {
      this->exchange->Send(std::string(100, 'x'));
    }
    this->timer.Start(milliseconds(10), [this] { this->SendMore(); });
  }

  EventLoop loop;
  std::shared_ptr<Exchange> exchange;
  std::optional<base::Instant> left_at;
  Timer timer{loop};
  HttpServer server{loop, {"127.0.0.1", 0}, [this](const auto& received) {
                      this->exchange = received;
                      this->exchange->OnDisconnect(
                          [this] { this->left_at = base::Now(); });
                      this->exchange->Begin({200, {}});
                    }};
};

}  // namespace

TEST_CASE("a silent caller is noticed") {
  EndlessServer endless;
  base::Instant silent_at;
  const auto run = [&](milliseconds pause) {
    RunWhile(endless.loop, [&] {
      SlowPeer caller = SlowPeer::Connect(endless.server.port());
      caller.Send(PrintGet("/"));
      caller.ReadUntil(kEndOfHead);
      std::this_thread::sleep_for(pause);
      caller.FallSilent();
      silent_at = base::Now();
      std::this_thread::sleep_for(kNoticed);
    });
    endless.exchange.reset();
  };

  SUBCASE("while it reads") {
    run(milliseconds(0));
  }
  SUBCASE("while it pauses") {
    run(kPause);
  }
  REQUIRE(endless.left_at.has_value());
  CHECK(*endless.left_at > silent_at);
  CHECK(*endless.left_at - silent_at < kNoticed);
}

}  // namespace carawayvalve::net
