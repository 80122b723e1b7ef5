// Guards against a request that crashes backend servers again after each loss
// of all gateways, and against the refusal of one that crashes nothing (issue
// 67).

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "../platform/backend.h"
#include "../platform/caller.h"
#include "../platform/desk.h"
#include "carawayvalve/systems/http_client.h"
#include "gateway_process.h"

namespace carawayvalve::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kServers = 4;
constexpr char kPoison[] = "crash";
// A crashed server is back after this time, as another run.
constexpr seconds kDownTime(1);

// Backend servers of the desk, with a thread of their own, that crash when they
// begin to run a poison request.
class CrashingDesk {
 public:
  explicit CrashingDesk(GatewayPlatform& platform) : platform(platform) {
    this->platform.ChangeStore([](Store& store) {
      store.Put("config", "main", DeskConfiguration());
      store.Remove("servers", "i-1");
    });
    for (size_t i = 0; i < kServers; ++i) {
      this->servers.emplace_back();
      this->timers.push_back(std::make_unique<net::Timer>(this->loop));
      this->Start(i);
    }
    this->thread = std::thread([this] { this->loop.Run(); });
  }
  ~CrashingDesk() {
    this->loop.Post([this] { this->loop.Stop(); });
    this->thread.join();
  }

  int crashes() const { return this->crash_count; }
  // Ends servers that run requests, for a reason of their own.
  void CrashBusyServers(size_t count) {
    std::promise<void> crashed;
    this->loop.Post([&] {
      for (size_t i = 0; i < kServers && count > 0; ++i) {
        if (this->servers[i] != nullptr && this->servers[i]->busy()) {
          this->servers[i].reset();
          this->StartLater(i);
          --count;
        }
      }
      crashed.set_value();
    });
    crashed.get_future().wait();
  }

 private:
  void Start(size_t number) {
    const std::string id = "desk-" + std::to_string(number) + "-" +
                           std::to_string(++this->start_count);
    auto& server = this->servers[number];
    server = std::make_unique<Backend>(
        this->loop, Backend::Settings{.id = id, .duration = milliseconds(60)},
        this->runs);
    server->crashing_body = kPoison;
    server->on_crash = [this, number] {
      ++this->crash_count;
      this->StartLater(number);
    };
    const std::string address = "127.0.0.1:" + std::to_string(server->port());
    const std::string before = std::exchange(this->ids[number], id);
    this->platform.ChangeStore([&](Store& store) {
      store.Put("servers", id, DeskServer(address));
      store.Remove("servers", before);
    });
  }
  void StartLater(size_t number) {
    this->timers[number]->Start(kDownTime,
                                [this, number] { this->Start(number); });
  }

  GatewayPlatform& platform;
  net::EventLoop loop;
  std::vector<BackendRun> runs;
  std::vector<std::unique_ptr<Backend>> servers;
  std::vector<std::unique_ptr<net::Timer>> timers;
  std::map<size_t, std::string> ids;
  int start_count = 0;
  std::atomic<int> crash_count = 0;
  std::thread thread;
};

// Two gateways.
class Gateways {
 public:
  explicit Gateways(GatewayPlatform& platform) : platform(platform) {
    this->Start();
  }

  void Start() {
    for (size_t i = 0; i < this->listen.size(); ++i) {
      this->processes.push_back(this->platform.StartBeside(
          "edge-" + std::to_string(i), this->listen[i]));
    }
    for (size_t i = 0; i < this->listen.size(); ++i) {
      Await("a gateway to be ready", [&] {
        systems::HttpRequest request;
        request.url = this->Url(i, "readiness", "/api/ready");
        return systems::HttpCall("ask gateway", request).status == 200;
      });
    }
  }
  // All are ended at the same moment and started again.
  void Restart(int signal) {
    for (const auto& process : this->processes) {
      process->Signal(signal);
    }
    this->processes.clear();
    this->Start();
    // A gateway that has just started knows its peers after this time.
    std::this_thread::sleep_for(seconds(2));
  }
  // Returns the status of a call; 0 without an answer.
  int Call(size_t gateway, const std::string& method, const std::string& body) {
    systems::HttpRequest request;
    request.method = method;
    request.url = this->Url(gateway, "callers", "/look/9");
    request.headers = {{"Host", "gateway.example"},
                       {kKeyField, "key-guild"},
                       {"X-Request-Id", "r" + std::to_string(++this->sent)}};
    request.body = body;
    try {
      return systems::HttpCall("call gateway", request).status;
    } catch (const std::exception&) {
      return 0;
    }
  }

 private:
  std::string Url(size_t gateway,
                  const char* port,
                  const std::string& path) const {
    return "http://" + this->listen[gateway].at(port).get<std::string>() + path;
  }

  GatewayPlatform& platform;
  std::vector<nlohmann::json> listen{GatewayPlatform::FreePorts(),
                                     GatewayPlatform::FreePorts()};
  std::vector<std::unique_ptr<Process>> processes;
  std::atomic<int> sent = 0;
};

}  // namespace

TEST_CASE("a request that crashes backend servers comes again") {
  GatewayPlatform platform;
  CrashingDesk desk(platform);
  Gateways gateways(platform);
  std::this_thread::sleep_for(seconds(2));
  const auto send_thrice = [&] {
    for (size_t i = 0; i < 3; ++i) {
      gateways.Call(i % 2, "POST", kPoison);
      std::this_thread::sleep_for(seconds(2));
    }
  };
  send_thrice();
  const int known = desk.crashes();
  REQUIRE(known >= 2);
  REQUIRE(known <= 3);

  SUBCASE("after all gateways were killed, and once more") {
    for (int i = 0; i < 2; ++i) {
      gateways.Restart(SIGKILL);
      send_thrice();
    }
    CHECK(desk.crashes() == known);
  }
  SUBCASE("after all gateways were stopped") {
    gateways.Restart(SIGTERM);
    send_thrice();
    CHECK(desk.crashes() == known);
  }
}

TEST_CASE("a popular request is running as backend servers crash") {
  GatewayPlatform platform;
  CrashingDesk desk(platform);
  Gateways gateways(platform);
  std::this_thread::sleep_for(seconds(2));
  std::atomic<bool> ends = false;
  std::atomic<int> asked = 0;
  std::atomic<int> served = 0;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < 4; ++i) {
    callers.emplace_back([&, i] {
      while (!ends) {
        ++asked;
        served += gateways.Call(i % 2, "GET", "") == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(20));
      }
    });
  }
  const auto crash_in_turn = [&] {
    for (int i = 0; i < 4; ++i) {
      std::this_thread::sleep_for(seconds(2));
      desk.CrashBusyServers(1);
    }
  };

  SUBCASE("and is answered afterwards") {
    crash_in_turn();
  }
  SUBCASE("all at once, and is answered once they are back") {
    desk.CrashBusyServers(kServers);
    std::this_thread::sleep_for(seconds(4));
  }
  SUBCASE("and is answered after all gateways were killed") {
    crash_in_turn();
    gateways.Restart(SIGKILL);
  }
  asked = 0;
  served = 0;
  std::this_thread::sleep_for(seconds(2));
  CHECK(asked > 20);
  CHECK(served * 10 >= asked * 9);
  ends = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
}

}  // namespace carawayvalve::tests
