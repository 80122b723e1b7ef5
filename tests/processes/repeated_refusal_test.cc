// Guards against requests that are refused as not run and have run, or run
// twice, before servers that write a refusal once more when its id comes again
// on a connection.
#include <doctest/doctest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "../platform/caller.h"
#include "../platform/desk.h"
#include "../platform/repeating_backend.h"
#include "carawayvalve/base/address.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/http_client.h"
#include "gateway_process.h"

namespace carawayvalve::tests {

namespace {

constexpr int kCallers = 4;
constexpr int kRestarts = 6;
constexpr std::chrono::milliseconds kLife(1000);
// How long the entry of an earlier start stands beside the new one.
constexpr std::chrono::milliseconds kLapse(700);
constexpr std::chrono::milliseconds kPause(10);

// Callers with one payment at a time each. The destructor waits for them.
class Callers {
 public:
  explicit Callers(uint16_t port) : port(port) {
    for (int caller = 0; caller < kCallers; ++caller) {
      this->threads.emplace_back([this, caller] { this->Run(caller); });
    }
  }
  ~Callers() { this->Stop(); }

  // Returns the statuses by the id of the payment; 0 for no answer.
  std::map<std::string, int> Stop() {
    this->stopped = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
    return this->statuses;
  }

 private:
  void Run(int caller) {
    for (int number = 0; !this->stopped; ++number) {
      const std::string id =
          "p" + std::to_string(caller) + "-" + std::to_string(number);
      const int status = this->Pay(id);
      const std::lock_guard lock(this->mutex);
      this->statuses[id] = status;
    }
  }

  int Pay(const std::string& id) const {
    std::this_thread::sleep_for(kPause);
    systems::HttpRequest request;
    request.method = "POST";
    request.url = "http://127.0.0.1:" + std::to_string(this->port) + "/pay/1";
    request.headers = {{"Host", "gateway.example"},
                       {kKeyField, "key-guild"},
                       {"X-Request-Id", id}};
    request.body = "5";
    try {
      return systems::HttpCall("pay", request).status;
    } catch (const base::Error&) {
      return 0;
    }
  }

  uint16_t port;
  std::atomic<bool> stopped = false;
  std::mutex mutex;
  std::map<std::string, int> statuses;
  std::vector<std::thread> threads;
};

// Returns whether the status promises that the request hasn't run.
bool PromisesNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

}  // namespace

TEST_CASE("servers that repeat refusals start again under other names") {
  GatewayPlatform platform;
  RepeatingBackend server;
  const std::string address = "127.0.0.1:" + std::to_string(server.port());
  const auto register_as = [&](const std::string& name) {
    server.SetName(name);
    platform.ChangeStore(
        [&](Store& store) { store.Put("servers", name, DeskServer(address)); });
  };
  const auto unregister = [&](const std::string& name) {
    platform.ChangeStore([&](Store& store) { store.Remove("servers", name); });
  };
  unregister("i-1");
  platform.ChangeStore([](Store& store) {
    store.Put("config", "main", PaymentConfiguration());
  });
  platform.settings["bounds"]["retry_ratio"] = 1;
  platform.settings["bounds"]["retry_slack"] = 1000;
  platform.WriteSettings();
  register_as("start-0");
  const auto gateway = platform.Start("gateway");
  Await("the gateway to be ready", [&] { return platform.IsReady(); });

  Callers callers(platform.Port("callers"));
  for (int start = 1; start <= kRestarts; ++start) {
    std::this_thread::sleep_for(kLife);
    register_as("start-" + std::to_string(start));
    std::this_thread::sleep_for(kLapse);
    unregister("start-" + std::to_string(start - 1));
  }
  int served = 0;
  for (const auto& payment : callers.Stop()) {
    const std::string& id = payment.first;
    const int status = payment.second;
    CAPTURE(id);
    CAPTURE(status);
    const int runs = server.RunsOf(id);
    served += status == 200 ? 1 : 0;
    CHECK(runs <= 1);
    if (PromisesNotRun(status)) {
      CHECK(runs == 0);
    }
  }
  CHECK(served > 0);
  int again = 0;
  for (const RepeatingBackend::Arrival& arrival : server.Arrivals()) {
    again += arrival.id_came_again ? 1 : 0;
  }
  CHECK(again == 0);
}

}  // namespace carawayvalve::tests
