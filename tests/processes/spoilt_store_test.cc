#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <thread>

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

// Replaces a member of each object in an answer, whatever its depth.
void SetMember(json& value, const std::string& name, const json& to) {
  if (value.is_object() && value.contains(name)) {
    value[name] = to;
  }
  if (value.is_structured()) {
    for (json& member : value) {
      SetMember(member, name, to);
    }
  }
}

std::function<void(Store&)> Answers(const std::string& text) {
  return [text](Store& store) {
    store.on_answer = [text](std::string& answer) { answer = text; };
  };
}

// Answers each watch with a lower revision, so that the objects are listed
// again, and each list with `text`.
std::function<void(Store&)> Lists(const std::string& text) {
  return [text](Store& store) {
    store.on_answer = [text](std::string& answer) {
      answer = json::parse(answer).contains("events")
                   ? R"({"events":[],"currentRev":1})"
                   : text;
    };
  };
}

std::function<void(Store&)> Members(const std::string& name, const json& to) {
  return [name, to](Store& store) {
    store.on_answer = [name, to](std::string& answer) {
      json value = json::parse(answer);
      SetMember(value, name, to);
      answer = value.dump();
    };
  };
}

// The ways in which a store is unwell, by name.
std::vector<std::pair<std::string, std::function<void(Store&)>>> Spells() {
  const json others = {
      {"items",
       {{{"kind", "Pod"}, {"metadata", {{"name", "p"}}}}, 7, nullptr, {1, 2}}},
      {"hasMore", false},
      {"currentRev", 1}};
  return {
      {"silent", [](Store& store) { store.silent = true; }},
      {"closes connections", [](Store& store) { store.down = true; }},
      {"503", [](Store& store) { store.refuses = true; }},
      {"404", [](Store& store) { store.status = 404; }},
      {"410", [](Store& store) { store.status = 410; }},
      {"204", [](Store& store) { store.status = 204; }},
      {"302", [](Store& store) { store.status = 302; }},
      {"an empty body", Answers("")},
      {"noise", Answers(std::string("\x00\xff\x16\x03\x01{[\"\x80", 9))},
      {"null", Answers("null")},
      {"a list", Answers("[]")},
      {"a number", Answers("1e999")},
      {"an object without members", Answers("{}")},
      {"objects of others", Answers(others.dump())},
      {"lists without members", Lists("{}")},
      {"lists that tell a fault",
       Lists(R"({"error":{"code":500,"message":"try later"}})")},
      {"a list cut off", Answers(R"({"items":[{"meta":{"name":"ma)")},
      {"revisions below zero", Members("currentRev", -1)},
      {"huge revisions", Members("currentRev", INT64_MAX)},
      {"revisions over 63 bits", Members("currentRev", UINT64_MAX)},
      {"fractions as revisions", Members("currentRev", 1e300)},
      {"revisions as text", Members("currentRev", "9")},
      {"huge revisions of objects", Members("rev", INT64_MAX)},
      {"revisions of objects below zero", Members("rev", -5)},
      {"an era below zero", [](Store& store) { store.stated_era = "-1"; }},
      {"an era over 63 bits",
       [](Store& store) { store.stated_era = "99999999999999999999"; }},
      {"an era as text", [](Store& store) { store.stated_era = "one"; }},
  };
}

void Heal(Store& store) {
  store.silent = false;
  store.down = false;
  store.refuses = false;
  store.status.reset();
  store.stated_era.reset();
  store.on_answer = [](std::string&) {};
}

json Dump(const GatewayPlatform& platform) {
  systems::HttpRequest request;
  request.method = "GET";
  request.url =
      "http://127.0.0.1:" + std::to_string(platform.Port("metrics")) + "/dump";
  return json::parse(systems::HttpCall("read state", request).body);
}

void PutServer(Store& store, const std::string& name) {
  store.Put("servers", name,
            {{"service", "desk"},
             {"addr", "127.0.0.1:1"},
             {"zone", "a"},
             {"version", "v1"},
             {"slots", 4},
             {"state", "up"},
             {"born", 1}});
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
  for (const auto& [name, spoil] : Spells()) {
    platforms[name].ChangeStore(spoil);
    gateways[name] = platforms[name].Start("gateway");
  }
  std::this_thread::sleep_for(kSpell);
  for (auto& entry : platforms) {
    const std::string& name = entry.first;
    GatewayPlatform& platform = entry.second;
    CAPTURE(name);
    CHECK(platform.Get("metrics", "/metrics") == 200);
    platform.ChangeStore(&Heal);
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
  for (const auto& [name, spoil] : Spells()) {
    gateways[name] = platforms[name].Start("gateway");
  }
  for (const auto& [name, spoil] : Spells()) {
    GatewayPlatform& platform = platforms[name];
    Await("the gateway to be ready", [&] { return platform.IsReady(); });
    platform.ChangeStore(spoil);
    platform.ChangeStore([](Store& store) { PutServer(store, "i-2"); });
  }
  std::this_thread::sleep_for(kSpell);
  for (auto& entry : platforms) {
    const std::string& name = entry.first;
    GatewayPlatform& platform = entry.second;
    CAPTURE(name);
    const json state = Dump(platform);
    CHECK(state.at("plan_version") == 1);
    CHECK_FALSE(state.at("backend_servers").empty());
    platform.ChangeStore(&Heal);
    platform.ChangeStore([](Store& store) { PutServer(store, "i-3"); });
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
