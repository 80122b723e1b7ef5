// Guards against answers that a gateway cuts off because their callers read
// slowly, also while it reloads its settings or stops.

#include <doctest/doctest.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "../../net/tests/slow_peer.h"
#include "../platform/caller.h"
#include "../platform/desk.h"
#include "../platform/size_backend.h"
#include "gateway_process.h"

namespace carawayvalve::tests {

namespace {

using net::SlowPeer;
using std::chrono::milliseconds;

constexpr char kEndOfHead[] = "\r\n\r\n";
constexpr char kEndOfChunks[] = "\r\n0\r\n\r\n";
constexpr milliseconds kTimeout(8000);

struct Call {
  std::string path;
  milliseconds pause_after_head{0};
  milliseconds pause_before_head{0};
};

// A gateway in front of a SizeBackend.
struct SlowCallers {
  SlowCallers() {
    const std::string address =
        "127.0.0.1:" + std::to_string(this->backend.port());
    this->platform.ChangeStore([&](Store& store) {
      store.Put("config", "main", WithStreams(DeskConfiguration(), kTimeout));
      store.Put("servers", "i-1", DeskServer(address));
    });
    this->gateway = this->platform.Start("gateway");
    Await("the gateway to be ready",
          [this] { return this->platform.IsReady(); });
  }

  SlowPeer Ask(const std::string& path) const {
    SlowPeer caller = SlowPeer::Connect(this->platform.Port("callers"));
    caller.Send("GET " + path + " HTTP/1.1\r\nHost: gateway.example\r\n" +
                kKeyField + ": key-guild\r\nX-Request-Id: " + path +
                "\r\n\r\n");
    return caller;
  }

  // Returns whether a caller that pauses receives all.
  bool ReceivesWhole(const Call& call) const {
    SlowPeer caller = this->Ask(call.path);
    std::this_thread::sleep_for(call.pause_before_head);
    if (!caller.ReadUntil(kEndOfHead)) {
      return false;
    }
    std::this_thread::sleep_for(call.pause_after_head);
    if (call.path.find("/tell/") == 0) {
      return caller.ReadUntil(kEndOfChunks);
    }
    return caller.ReadTotal(caller.received().find(kEndOfHead) + 4 +
                            std::stoul(call.path.substr(6)));
  }

  GatewayPlatform platform;
  SizeBackend backend;
  std::unique_ptr<Process> gateway;
};

}  // namespace

TEST_CASE("callers read their answers slowly and receive all of them") {
  const std::vector<Call> calls = {
      {"/look/400000", milliseconds(6000)},
      {"/look/400001", milliseconds(0), milliseconds(4200)},
      {"/look/3000000", milliseconds(4000)},
      {"/look/3000001", milliseconds(5000)},
      {"/tell/6", milliseconds(6000)},
      {"/tell/1200", milliseconds(3400)}};
  SlowCallers callers;
  std::vector<int> whole(calls.size());
  const auto run = [&](const std::function<void()>& meanwhile) {
    std::vector<std::function<void()>> actions = {meanwhile};
    for (size_t i = 0; i < calls.size(); ++i) {
      actions.emplace_back(
          [&, i] { whole[i] = callers.ReceivesWhole(calls[i]) ? 1 : 0; });
    }
    net::RunTogether(actions);
    for (size_t i = 0; i < calls.size(); ++i) {
      CAPTURE(calls[i].path);
      CHECK(whole[i] == 1);
    }
  };
  const auto signal_later = [&](int signal) {
    std::this_thread::sleep_for(milliseconds(1000));
    callers.gateway->Signal(signal);
  };

  SUBCASE("in quiet times") {
    run([] {});
  }
  SUBCASE("while the gateway reloads its settings") {
    run([&] { signal_later(SIGHUP); });
  }
  SUBCASE("that they asked for once the gateway stops") {
    callers.gateway->Signal(SIGTERM);
    run([] {});
    CHECK(callers.gateway->WaitForEnd() == 0);
  }
  SUBCASE("while the gateway stops") {
    run([&] { signal_later(SIGTERM); });
    CHECK(callers.gateway->WaitForEnd() == 0);
  }
}

}  // namespace carawayvalve::tests
