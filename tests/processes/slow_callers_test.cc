// Guards against answers that a gateway cuts off because their callers read
// slowly, also while it reloads its settings or stops.

#include <doctest/doctest.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "../../net/tests/slow_peer.h"
#include "../platform/caller.h"
#include "../platform/desk.h"
#include "carawayvalve/net/http_server.h"
#include "gateway_process.h"

namespace carawayvalve::tests {

namespace {

using net::SlowPeer;
using std::chrono::milliseconds;

constexpr char kEndOfHead[] = "\r\n\r\n";
constexpr char kEndOfChunks[] = "\r\n0\r\n\r\n";
constexpr milliseconds kTimeout(8000);
constexpr size_t kEventBytes = 1000;

// Answers "/look/N" with N bytes and "/tell/N" with N events of 1,000 bytes.
class SizeBackend {
 public:
  SizeBackend() : thread([this] { this->loop.Run(); }) {}
  ~SizeBackend() {
    this->loop.Post([this] { this->loop.Stop(); });
    this->thread.join();
  }
  SizeBackend(const SizeBackend&) = delete;
  SizeBackend& operator=(const SizeBackend&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->server.port());
  }

 private:
  static void Answer(net::Exchange& exchange) {
    const net::Request& request = exchange.request();
    const int number = std::stoi(request.target.substr(6));
    net::HeaderFields fields = {{"X-Response-Sig", "s"}};
    const std::string* id = net::FindField(request.fields, "X-Request-Id");
    if (id != nullptr) {
      fields.push_back({"X-Request-Id", *id});
    }
    if (request.target.find("/look/") == 0) {
      exchange.Respond(
          {{200, fields}, std::string(static_cast<size_t>(number), 'x')});
      return;
    }
    fields.push_back({"Content-Type", "text/event-stream"});
    exchange.Begin({200, fields});
    for (int event = 1; event <= number; ++event) {
      exchange.Send("id: " + std::to_string(event) +
                    "\ndata: " + std::string(kEventBytes, 'x') + "\n\n");
    }
    exchange.Finish();
  }

  net::EventLoop loop;
  net::HttpServer server{this->loop,
                         {"127.0.0.1", 0},
                         [](const auto& exchange) { Answer(*exchange); }};
  std::thread thread;
};

nlohmann::json Configuration() {
  nlohmann::json configuration = DeskConfiguration();
  nlohmann::json& routes = configuration["routes"];
  routes[0]["timeoutMs"] = kTimeout.count();
  nlohmann::json stream = routes[0];
  stream["name"] = "tell";
  stream["prefix"] = "/tell/";
  stream["kind"] = "stream";
  routes.push_back(stream);
  return configuration;
}

// A gateway in front of a SizeBackend.
struct SlowCallers {
  SlowCallers() {
    this->platform.ChangeStore([this](Store& store) {
      store.Put("config", "main", Configuration());
      store.Put("servers", "i-1", DeskServer(this->backend.address()));
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

  // Returns whether a caller that pauses after the head receives all.
  bool ReceivesWhole(const std::string& path, milliseconds pause) const {
    SlowPeer caller = this->Ask(path);
    if (!caller.ReadUntil(kEndOfHead)) {
      return false;
    }
    std::this_thread::sleep_for(pause);
    if (path.find("/tell/") == 0) {
      return caller.ReadUntil(kEndOfChunks);
    }
    return caller.ReadTotal(caller.received().find(kEndOfHead) + 4 +
                            std::stoul(path.substr(6)));
  }

  GatewayPlatform platform;
  SizeBackend backend;
  std::unique_ptr<Process> gateway;
};

}  // namespace

TEST_CASE("callers read their answers slowly and receive all of them") {
  struct Call {
    std::string path;
    milliseconds pause;
  };
  const std::vector<Call> calls = {{"/look/400000", milliseconds(6000)},
                                   {"/look/3000000", milliseconds(4000)},
                                   {"/look/3000001", milliseconds(5000)},
                                   {"/tell/6", milliseconds(6000)},
                                   {"/tell/1200", milliseconds(3400)}};
  SlowCallers callers;
  std::vector<int> whole(calls.size());
  const auto run = [&](const std::function<void()>& meanwhile) {
    std::vector<std::function<void()>> actions = {meanwhile};
    for (size_t i = 0; i < calls.size(); ++i) {
      actions.emplace_back([&, i] {
        whole[i] = callers.ReceivesWhole(calls[i].path, calls[i].pause) ? 1 : 0;
      });
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
  SUBCASE("while the gateway stops") {
    run([&] { signal_later(SIGTERM); });
    CHECK(callers.gateway->WaitForEnd() == 0);
  }
}

}  // namespace carawayvalve::tests
