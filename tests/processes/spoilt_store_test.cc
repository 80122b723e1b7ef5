#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <thread>

#include "../platform/desk.h"
#include "../platform/store_faults.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/http_client.h"
#include "gateway_process.h"

namespace carawayvalve::tests {

namespace {

using nlohmann::json;
using std::chrono::seconds;

// The platform's bound on the time from a store that is well again to service.
constexpr seconds kRecoveryTime(12);
// How long the store is unwell.
constexpr seconds kSpell(4);

json Dump(const GatewayPlatform& platform) {
  systems::HttpRequest request;
  request.method = "GET";
  request.url =
      "http://127.0.0.1:" + std::to_string(platform.Port("metrics")) + "/dump";
  return json::parse(systems::HttpCall("read state", request).body);
}

// Waits until the condition holds. Returns whether it does within the bound.
bool Recovers(std::chrono::steady_clock::time_point healed,
              const std::function<bool()>& condition) {
  while (std::chrono::steady_clock::now() - healed < kRecoveryTime) {
    try {
      if (condition()) {
        return true;
      }
    } catch (const base::Error&) {
      // The gateway doesn't answer.
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

}  // namespace

TEST_CASE("a gateway lives through a store that is unwell from the start") {
  std::map<std::string, GatewayPlatform> platforms;
  std::map<std::string, std::unique_ptr<Process>> gateways;
  for (const auto& [name, spoil] : StoreFaults()) {
    platforms[name].ChangeStore(spoil);
    gateways[name] = platforms[name].Start("gateway");
  }
  std::this_thread::sleep_for(kSpell);
  for (auto& entry : platforms) {
    const std::string& name = entry.first;
    GatewayPlatform& platform = entry.second;
    CAPTURE(name);
    CHECK(platform.Get("metrics", "/metrics") == 200);
    platform.ChangeStore(&EndFaults);
  }
  const auto healed = std::chrono::steady_clock::now();
  for (auto& entry : platforms) {
    const std::string& name = entry.first;
    GatewayPlatform& platform = entry.second;
    CAPTURE(name);
    CHECK(Recovers(healed, [&] { return platform.IsReady(); }));
  }
}

TEST_CASE("a gateway keeps what it knew through a store that is unwell") {
  std::map<std::string, GatewayPlatform> platforms;
  std::map<std::string, std::unique_ptr<Process>> gateways;
  for (const auto& [name, spoil] : StoreFaults()) {
    gateways[name] = platforms[name].Start("gateway");
  }
  for (const auto& [name, spoil] : StoreFaults()) {
    GatewayPlatform& platform = platforms[name];
    Await("the gateway to be ready", [&] { return platform.IsReady(); });
    platform.ChangeStore(spoil);
    platform.ChangeStore([](Store& store) {
      store.Put("servers", "i-2", DeskServer("127.0.0.1:1"));
    });
  }
  std::this_thread::sleep_for(kSpell);
  for (auto& entry : platforms) {
    const std::string& name = entry.first;
    GatewayPlatform& platform = entry.second;
    CAPTURE(name);
    const json state = Dump(platform);
    CHECK(state.at("plan_version") == 1);
    CHECK_FALSE(state.at("backend_servers").empty());
    platform.ChangeStore(&EndFaults);
    platform.ChangeStore([](Store& store) {
      store.Put("servers", "i-3", DeskServer("127.0.0.1:1"));
    });
  }
  const auto healed = std::chrono::steady_clock::now();
  for (auto& entry : platforms) {
    const std::string& name = entry.first;
    GatewayPlatform& platform = entry.second;
    CAPTURE(name);
    CHECK(Recovers(healed, [&] {
      return Dump(platform).at("backend_servers").size() == 3 &&
             platform.IsReady();
    }));
  }
}

}  // namespace carawayvalve::tests
