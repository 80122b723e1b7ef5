#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "carawayvalve/platform/object_decoding.h"
#include "host_registry.h"
#include "platform/store.h"
#include "registry_relay.h"
#include "store_feed.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.store.watch_wait = Milliseconds(50);
  return settings;
}

nlohmann::json DeskServer(const char* state = "up") {
  return {{"service", "desk"}, {"addr", "127.0.0.1:1"},
          {"zone", "a"},       {"version", "v1"},
          {"slots", 4},        {"state", state},
          {"born", 1}};
}

// The text of a backend server's entry with one more field.
std::string With(const std::string& field_text) {
  std::string text = DeskServer().dump();
  text.pop_back();
  return text + ",\"note\":" + field_text + "}";
}

std::string Nested(const std::string& open,
                   const std::string& close,
                   int depth) {
  std::string before;
  std::string after;
  for (int i = 0; i < depth; ++i) {
    before += open;
    after += close;
  }
  return before + "1" + after;
}

constexpr size_t kOddFields = 6;

// The texts of fields that can't be read.
std::vector<std::string> OddFields() {
  return {Nested("[", "]", 300'000),
          Nested("{\"a\":", "}", 90'000),
          "1e999",
          "\"\xff\"",
          "\"\\ud800\"",
          "nul"};
}

// A gateway that follows the store, and one that is told by it.
struct OddObjectsTest {
  OddObjectsTest() {
    this->objects.SetOnFault([this](const auto& kind, const auto& object) {
      this->gateway.context.NoteUnreadable(kind, object);
    });
    this->store.Put("servers", "i-1", DeskServer());
    this->store.Put("servers", "i-3", DeskServer());
  }

  bool Knows(const char* id) const {
    return this->gateway.state.directory.Find({id}) != nullptr;
  }
  bool IsDraining(const char* id) const {
    const core::BackendEntry* entry = this->gateway.state.directory.Find({id});
    return entry != nullptr && entry->draining;
  }
  // Follows the store and sees what becomes of the other entries.
  void CheckThatTheOthersHold() {
    this->gateway.RunFor(Milliseconds(300));
    CHECK(this->Knows("i-1"));
    CHECK(this->Knows("i-3"));
    this->store.Put("servers", "i-3", DeskServer("draining"));
    this->store.Put("servers", "i-4", DeskServer());
    this->store.Remove("servers", "i-1");
    this->gateway.RunFor(Milliseconds(1500));
    CHECK(!this->Knows("i-1"));
    CHECK(this->IsDraining("i-3"));
    CHECK(this->Knows("i-4"));
    CHECK(!this->Knows("i-2"));
  }

  TestGateway gateway{TestSettings()};
  tests::Store store{gateway.loop};
  platform::ObjectClient objects{
      gateway.loop, base::ParseAddress(store.address()), Milliseconds(1000)};
  StoreFeed feed{gateway.context, objects};
};

}  // namespace

TEST_CASE("a listed entry that can't be read ends no gateway, hides no other") {
  for (const std::string& field : OddFields()) {
    CAPTURE(field.substr(0, 10));
    OddObjectsTest test;
    test.store.PutText("servers", "i-2", With(field));
    test.feed.Start();
    test.CheckThatTheOthersHold();
    CHECK(test.gateway.metrics.Print().find(
              "carawayvalve_unreadable_objects_total{kind=\"servers\","
              "what=\"value\"} 1") != std::string::npos);
    CHECK(!test.objects.counts().by_reason().contains(
        {"list servers", "failed"}));
  }
}

TEST_CASE(
    "an entry that becomes unreadable is used again once it is readable") {
  for (const std::string& field : OddFields()) {
    CAPTURE(field.substr(0, 10));
    OddObjectsTest test;
    test.store.Put("servers", "i-2", DeskServer());
    test.feed.Start();
    test.gateway.RunFor(Milliseconds(300));
    REQUIRE(test.Knows("i-2"));
    test.store.PutText("servers", "i-2", With(field));
    test.gateway.RunFor(Milliseconds(1500));
    CHECK(!test.Knows("i-2"));
    test.CheckThatTheOthersHold();
    test.store.Put("servers", "i-2", DeskServer());
    test.gateway.RunFor(Milliseconds(1500));
    CHECK(test.Knows("i-2"));
  }
}

TEST_CASE("an entry of missing fields ends the use of the one before") {
  OddObjectsTest test;
  test.store.Put("servers", "i-2", DeskServer());
  test.feed.Start();
  test.gateway.RunFor(Milliseconds(300));
  REQUIRE(test.Knows("i-2"));
  test.store.Put("servers", "i-2", {{"state", "up"}});
  test.gateway.RunFor(Milliseconds(1500));
  CHECK(!test.Knows("i-2"));
}

TEST_CASE("odd members of the store's answers lose only themselves") {
  OddObjectsTest test;
  const auto replace = [&](const std::string& from, const std::string& to) {
    test.store.on_answer = [from, to](std::string& text) {
      const size_t at = text.find(from);
      if (at != std::string::npos) {
        text.replace(at, from.size(), to);
      }
    };
  };
  SUBCASE("hasMore of another type") {
    replace("\"hasMore\":false", "\"hasMore\":\"no\"");
  }
  SUBCASE("a name that isn't UTF-8") {
    test.store.Put("servers", "i-2", DeskServer());
    replace("\"name\":\"i-2\"", "\"name\":\"\xff\"");
  }
  SUBCASE("an item of another type") {
    replace("\"items\":[", "\"items\":[[],1e999,");
  }
  SUBCASE("a nested member beside the value") {
    replace("\"meta\":",
            "\"note\":" + Nested("[", "]", 300'000) + ",\"meta\":");
  }
  test.feed.Start();
  test.CheckThatTheOthersHold();
}

// Guards against a malformed answer that is taken for one without objects.
TEST_CASE("an answer whose frame can't be read hides no entry and no change") {
  OddObjectsTest test;
  int spoilt = 0;
  const auto spoil_once = [&](const std::string& from, const std::string& to) {
    test.store.on_answer = [&spoilt, from, to](std::string& text) {
      const size_t at = text.find(from);
      if (spoilt == 0 && at != std::string::npos) {
        text.replace(at, from.size(), to);
        ++spoilt;
      }
    };
  };
  test.store.Put("servers", "i-2", DeskServer());
  SUBCASE("a list without an array") {
    spoil_once("\"items\":[{", "\"items\":1,\"others\":[{");
  }
  test.feed.Start();
  test.gateway.RunFor(Milliseconds(500));
  REQUIRE(test.Knows("i-2"));
  SUBCASE("a change without a name") {
    spoil_once("\"name\":\"i-2\"", "\"name\":1");
  }
  SUBCASE("a removal that isn't a boolean") {
    spoil_once("\"tombstone\":true", "\"tombstone\":1");
  }
  SUBCASE("changes without an array") {
    spoil_once("\"events\":[{", "\"events\":2,\"others\":[{");
  }
  test.store.Remove("servers", "i-2");
  // Beyond the grace period that a failed call begins.
  test.gateway.RunFor(Milliseconds(4000));
  test.feed.ExpireBackends();
  CHECK(spoilt == 1);
  CHECK(!test.Knows("i-2"));
  CHECK(test.Knows("i-1"));
  CHECK(test.Knows("i-3"));
}

TEST_CASE("a configuration that can't be read leaves the one before in force") {
  OddObjectsTest test;
  test.store.Put("config", "main",
                 {{"version", 1},
                  {"routes", nlohmann::json::array()},
                  {"services", nlohmann::json::array()}});
  test.feed.Start();
  test.gateway.RunFor(Milliseconds(300));
  for (const std::string& field : OddFields()) {
    CAPTURE(field.substr(0, 10));
    test.store.PutText(
        "config", "main",
        "{\"version\":2,\"routes\":[],\"services\":[],\"a\":" + field + "}");
    test.gateway.RunFor(Milliseconds(200));
    CHECK(test.gateway.state.table->version() == 1);
  }
  test.store.Put("config", "main",
                 {{"version", 3},
                  {"routes", nlohmann::json::array()},
                  {"services", nlohmann::json::array()}});
  test.gateway.RunFor(Milliseconds(200));
  CHECK(test.gateway.state.table->version() == 3);
}

// Guards against a gateway that ends as it sends to a host that is no address.
TEST_CASE("a gateway's entry with a host name names no peer") {
  OddObjectsTest test;
  test.store.Put("carawayvalve-hosts", "odd", {{"address", "a.example:80"}});
  test.store.Put("carawayvalve-hosts", "other", {{"address", "127.0.0.1:9"}});
  std::vector<std::string> peers;
  HostRegistry registry(test.gateway.context, test.objects,
                        [&](const base::HostId& host, const base::Address&) {
                          peers.push_back(host.value);
                        });
  registry.Start();
  test.gateway.RunFor(Milliseconds(200));
  REQUIRE(!peers.empty());
  for (const std::string& peer : peers) {
    CHECK(peer == "other");
  }
}

TEST_CASE("a peer passes on an entry that can't be read as one that can't") {
  for (const std::string& field : OddFields()) {
    CAPTURE(field.substr(0, 10));
    OddObjectsTest test;
    test.feed.SetWatchWaits(
        {{seconds(60), std::nullopt}, {seconds(60), std::nullopt}});
    test.feed.Start();
    // This store's revision is the higher one.
    for (int i = 0; i < 5; ++i) {
      test.store.Put("leases", "duties", {{"epoch", i}});
    }
    OddObjectsTest told;
    told.store.Put("servers", "i-2", DeskServer());
    told.feed.SetWatchWaits(
        {{std::nullopt, std::nullopt}, {std::nullopt, seconds(60)}});
    told.feed.Start();
    told.gateway.RunFor(Milliseconds(300));
    test.gateway.RunFor(Milliseconds(300));
    REQUIRE(told.Knows("i-2"));
    const RegistryRelay relay(test.gateway.context, test.feed);
    const core::StoreRevision known = test.feed.registry().received_revision();
    test.store.PutText("servers", "i-2", With(field));
    test.store.Put("servers", "i-3", DeskServer("draining"));
    test.gateway.RunFor(Milliseconds(2000));

    const auto answer =
        relay.Answer("/registry?after=" + std::to_string(known.revision) +
                     "&era=" + std::to_string(known.era));
    REQUIRE(answer.has_value());
    // The told gateway asks a server that answers as the peer does.
    net::HttpServer peer(told.gateway.loop, {"127.0.0.1", 0},
                         [&](const auto& exchange) {
                           exchange->Respond({{200, {}}, *answer});
                         });
    RegistryRelay told_relay(told.gateway.context, told.feed);
    wire::gen::Gossip message;
    message.registry_revision = test.feed.registry_revision().revision;
    relay.AddTo(message);
    told_relay.Apply(message, {"127.0.0.1", peer.port()});
    told.gateway.RunFor(Milliseconds(300));
    CHECK(told.IsDraining("i-3"));
    CHECK(!told.Knows("i-2"));
  }
}

TEST_CASE("whatever stands beside them, the readable entries are known") {
  CHECK(rc::check("whatever the list holds", [] {
    // Either one of the odd fields, or a string of any bytes.
    const auto picks = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(0, 2 * kOddFields));
    OddObjectsTest test;
    int number = 0;
    for (const size_t pick : picks) {
      const auto bytes = *rc::gen::container<std::string>(
          rc::gen::element('a', '\xff', '\xc3', '\x01', '{', '[', ']'));
      test.store.PutText(
          "servers", "i-2-" + std::to_string(number++),
          With(pick < kOddFields ? OddFields()[pick] : "\"" + bytes + "\""));
    }
    test.feed.Start();
    for (int i = 0; i < 100 && !test.Knows("i-3"); ++i) {
      test.gateway.RunFor(Milliseconds(20));
    }
    RC_ASSERT(test.Knows("i-1"));
    RC_ASSERT(test.Knows("i-3"));
  }));
}

}  // namespace carawayvalve::gateway
