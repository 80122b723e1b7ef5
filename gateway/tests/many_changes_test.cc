// Guards against changes of sound backend servers that are dropped because the
// answer holds many of them.
#include <doctest/doctest.h>

#include <string>

#include "platform/store.h"
#include "store_feed.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;

namespace {

constexpr int kEngines = 3000;
// An engine says several times a second how long it stays slow after its start.
constexpr int kChanges = 6;

nlohmann::json Engine(int cold_left_ms) {
  return {{"service", "chat"},
          {"addr", "127.0.0.1:1"},
          {"zone", "a"},
          {"version", "v1"},
          {"slots", 4},
          {"state", "up"},
          {"born", 1},
          {"seq", 7},
          {"coldLeftMs", cold_left_ms},
          {"phase", "decode"},
          {"models",
           {{{"name", "m"},
             {"version", 1},
             {"adapters", nlohmann::json::array()}}}}};
}

}  // namespace

TEST_CASE("all engines are known after many changes at once") {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.store.watch_wait = Milliseconds(50);
  settings.bounds.key_withdrawal = Milliseconds(2000);
  TestGateway gateway(settings);
  tests::Store store(gateway.loop);
  platform::ObjectClient objects(gateway.loop,
                                 base::ParseAddress(store.address()),
                                 std::chrono::seconds(20));
  int64_t unreadable = 0;
  objects.SetOnFault([&](const auto&, const auto&) { ++unreadable; });
  StoreFeed feed(gateway.context, objects);
  feed.Start();
  gateway.RunFor(Milliseconds(300));
  store.down = true;
  gateway.RunFor(Milliseconds(100));
  for (int change = 0; change < kChanges; ++change) {
    for (int i = 0; i < kEngines; ++i) {
      store.Put("servers", "i-" + std::to_string(i),
                Engine(6000 - 1000 * change));
    }
  }
  store.down = false;
  gateway.RunFor(std::chrono::seconds(8));
  feed.ExpireBackends();
  CHECK(unreadable == 0);
  CHECK(gateway.state.directory.entries().size() == kEngines);
}

}  // namespace carawayvalve::gateway
