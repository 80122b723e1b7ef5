// Guards what noticing slow readers must not lose: peers that acknowledge
// nothing are noticed, and callers that never read don't hold what they are
// sent for ever.

#include <doctest/doctest.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "../../net/tests/slow_peer.h"
#include "../platform/backend.h"
#include "../platform/caller.h"
#include "../platform/desk.h"
#include "../platform/size_backend.h"
#include "gateway_process.h"

namespace carawayvalve::tests {

namespace {

using net::SlowListener;
using net::SlowPeer;
using std::chrono::milliseconds;

// The other side's host must be known to be gone within this time.
constexpr milliseconds kNoticed(4500);
constexpr milliseconds kTimeout(8000);
constexpr size_t kBodyBytes = size_t{3} * 1024 * 1024;

std::string Head(const std::string& method,
                 const std::string& path,
                 const std::string& fields = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: gateway.example\r\n" +
         kKeyField + ": key-guild\r\nX-Request-Id: r1\r\n" + fields + "\r\n";
}

// A gateway in front of one backend server.
struct OneGateway {
  explicit OneGateway(uint16_t backend_port,
                      const nlohmann::json& configuration) {
    const std::string address = "127.0.0.1:" + std::to_string(backend_port);
    this->platform.ChangeStore([&](Store& store) {
      store.Put("config", "main", WithStreams(configuration, kTimeout));
      store.Put("servers", "i-1", DeskServer(address));
    });
    this->gateway = this->platform.Start("gateway");
    Await("the gateway to be ready",
          [this] { return this->platform.IsReady(); });
  }

  SlowPeer Connect() const {
    return SlowPeer::Connect(this->platform.Port("callers"));
  }
  // Returns the reasons of the answers that weren't delivered.
  std::vector<std::string> UndeliveredReasons() const {
    std::vector<std::string> reasons;
    for (const auto& line :
         LogLines(this->gateway->Output(), "answer_undelivered")) {
      reasons.push_back(line["reason"]);
    }
    return reasons;
  }

  GatewayPlatform platform;
  std::unique_ptr<Process> gateway;
};

}  // namespace

TEST_CASE("a caller sends a large payment to a backend server") {
  const SlowListener listener;
  const OneGateway one(listener.port(), PaymentConfiguration());
  // Returns the caller's answer while `serve` plays the server.
  const auto pay = [&](const std::function<void(SlowPeer&)>& serve) {
    std::thread server([&] {
      SlowPeer connection = listener.Accept();
      serve(connection);
    });
    SlowPeer caller = one.Connect();
    caller.Send(Head("POST", "/pay/1",
                     "Content-Length: " + std::to_string(kBodyBytes) + "\r\n"));
    caller.Send(std::string(kBodyBytes, 'x'));
    caller.ReadUntil("\r\n\r\n");
    server.join();
    return caller.received();
  };
  const base::Instant begun = base::Now();

  SUBCASE("that reads it slowly and takes it") {
    const std::string answer = pay([](SlowPeer& connection) {
      std::this_thread::sleep_for(milliseconds(3400));
      connection.ReadTotal(kBodyBytes);
      connection.Send(AnswerHead("Content-Length: 0\r\n"));
    });
    CHECK(answer.find("HTTP/1.1 200") == 0);
  }
  SUBCASE("that acknowledges nothing, and learns that the outcome is unknown") {
    const std::string answer = pay([](SlowPeer& connection) {
      connection.FallSilent();
      std::this_thread::sleep_for(kNoticed);
    });
    CHECK(answer.find("HTTP/1.1 502") == 0);
    CHECK(base::Now() - begun < kNoticed + milliseconds(500));
  }
}

TEST_CASE("a caller acknowledges nothing while it is sent a stream") {
  SizeBackend backend;
  const OneGateway one(backend.port(), DeskConfiguration());
  SlowPeer caller = one.Connect();
  caller.Send(Head("GET", "/tell/endless"));
  REQUIRE(caller.ReadUntil("data: "));
  const auto fall_silent_after = [&](milliseconds pause) {
    std::this_thread::sleep_for(pause);
    caller.FallSilent();
    const base::Instant silent_at = base::Now();
    Await("the stream to be cancelled", [&] { return backend.left() > 0; });
    CHECK(base::Now() - silent_at < kNoticed);
    Await("a line about it", [&] { return !one.UndeliveredReasons().empty(); });
    CHECK(one.UndeliveredReasons() == std::vector<std::string>{"silent"});
  };

  SUBCASE("and its server learns that") {
    fall_silent_after(milliseconds(0));
  }
  SUBCASE("after a pause, and its server learns that") {
    fall_silent_after(milliseconds(3000));
  }
}

TEST_CASE("callers never read their answers") {
  constexpr int kCallers = 30;
  constexpr int kOthers = 45;
  SizeBackend backend;
  const OneGateway one(backend.port(), DeskConfiguration());
  std::vector<SlowPeer> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(one.Connect());
    callers.back().Send(Head("GET", "/look/1000000"));
  }
  const base::Instant begun = base::Now();

  SUBCASE("and others are served, and the answers given up at the deadline") {
    int served = 0;
    for (int i = 0; i < kOthers; ++i) {
      SlowPeer other = one.Connect();
      other.Send(Head("GET", "/look/100"));
      served += other.ReadUntil(std::string(100, 'x')) ? 1 : 0;
    }
    CHECK(served == kOthers);
    CHECK(base::Now() - begun < kTimeout);
    CHECK(one.UndeliveredReasons().empty());
    Await("the answers to be given up",
          [&] { return one.UndeliveredReasons().size() == kCallers; });
    CHECK(base::Now() - begun < kTimeout + milliseconds(1500));
    CHECK(one.UndeliveredReasons() ==
          std::vector<std::string>(kCallers, "unread"));
  }
  SUBCASE("and a stop that ends before the deadline says whom it cut off") {
    one.gateway->Signal(SIGTERM);
    CHECK(one.gateway->WaitForEnd() == 0);
    CHECK(base::Now() - begun < kTimeout);
    CHECK(one.UndeliveredReasons() ==
          std::vector<std::string>(kCallers, "stop"));
  }
}

}  // namespace carawayvalve::tests
