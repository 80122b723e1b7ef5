// Guards against entries of other writers whose names aren't names of backend
// servers: they stop no list, and name no server.
#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "carawayvalve/platform/objects.h"
#include "host_registry.h"
#include "platform/desk.h"
#include "platform/odd_names.h"
#include "platform/store.h"
#include "recent_store.h"
#include "store_feed.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;

namespace {

constexpr int kServers = 12;
constexpr size_t kPageSize = 4;
constexpr int kOddEntries = 10;

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.store.watch_wait = Milliseconds(50);
  return settings;
}

// A store with twelve servers, whose lists have pages of four entries, and a
// gateway that isn't started yet.
struct OddNamesTest {
  OddNamesTest() {
    this->store.page_size = kPageSize;
    for (int i = 0; i < kServers; ++i) {
      this->store.Put("servers", tests::ServerName(i),
                      tests::DeskServer("127.0.0.1:" + std::to_string(i + 1)));
    }
  }

  // Puts entries between the servers w03 and w04.
  void PutOddEntries(const std::string& bytes, int count) {
    for (int i = 0; i < count; ++i) {
      this->store.Put("servers", "w03" + bytes + std::to_string(i),
                      tests::DeskServer("127.0.0.1:99"));
    }
  }
  bool Knows(const std::string& id) const {
    return this->gateway.state.directory.Find({id}) != nullptr;
  }
  int KnownServers() const {
    int known = 0;
    for (int i = 0; i < kServers; ++i) {
      known += this->Knows(tests::ServerName(i)) ? 1 : 0;
    }
    return known;
  }
  // Waits until the whole list has been read, for a second at most.
  void ReadList() {
    for (int i = 0; i < 50 && this->store.watches["servers"] == 0; ++i) {
      this->gateway.RunFor(Milliseconds(20));
    }
  }

  TestGateway gateway{TestSettings()};
  tests::Store store{gateway.loop};
  platform::ObjectClient objects{
      gateway.loop, base::ParseAddress(store.address()), Milliseconds(1000)};
  StoreFeed feed{gateway.context, objects};
};

}  // namespace

TEST_CASE("a list is read to its end, whatever the names at its pages' ends") {
  for (const std::string& bytes : tests::OddBytes()) {
    CAPTURE(bytes);
    OddNamesTest test;
    test.PutOddEntries(bytes, kOddEntries);
    test.feed.Start();
    test.ReadList();
    CHECK(test.KnownServers() == kServers);
    CHECK(test.store.watches["servers"] > 0);
    CHECK(test.store.pages["servers"].size() ==
          (kServers + kOddEntries + kPageSize - 1) / kPageSize);
  }
}

TEST_CASE("a change of an entry with an odd name needs no new list") {
  for (const char* name : {"w03 &", "w03\xff"}) {
    CAPTURE(name);
    OddNamesTest test;
    test.feed.Start();
    test.ReadList();
    const size_t pages = test.store.pages["servers"].size();
    test.store.Put("servers", name, tests::DeskServer("127.0.0.1:5"));
    test.gateway.RunFor(Milliseconds(300));
    test.store.Remove("servers", name);
    test.gateway.RunFor(Milliseconds(1200));
    CHECK(test.store.pages["servers"].size() == pages);
    CHECK(test.KnownServers() == kServers);
  }
}

TEST_CASE("an entry whose name is odd names no server") {
  OddNamesTest test;
  std::vector<std::string> odd_names;
  for (const std::string& bytes : tests::OddBytes()) {
    odd_names.push_back("w03" + bytes);
  }
  const auto put_all = [&] {
    for (const std::string& name : odd_names) {
      // Some other server is at this address.
      test.store.Put("servers", name, tests::DeskServer("127.0.0.1:5"));
    }
  };
  const auto check_names = [&] {
    for (const std::string& name : odd_names) {
      CAPTURE(name);
      CHECK_FALSE(test.Knows(name));
    }
    CHECK(test.KnownServers() == kServers);
  };

  SUBCASE("in a list") {
    put_all();
    test.feed.Start();
    test.ReadList();
    check_names();
  }
  SUBCASE("in changes of the store, nor does its removal concern one") {
    test.feed.Start();
    test.ReadList();
    put_all();
    test.store.Put("servers", "w12", tests::DeskServer("127.0.0.1:13"));
    test.gateway.RunFor(Milliseconds(1200));
    check_names();
    CHECK(test.Knows("w12"));
    for (const std::string& name : odd_names) {
      test.store.Remove("servers", name);
    }
    test.store.Remove("servers", "w12");
    test.gateway.RunFor(Milliseconds(1200));
    check_names();
    CHECK_FALSE(test.Knows("w12"));
  }
  SUBCASE("in changes that a peer returns") {
    test.feed.SetWatchWaits(
        {{std::nullopt, std::nullopt}, {std::nullopt, std::chrono::hours(1)}});
    test.feed.Start();
    test.gateway.RunFor(Milliseconds(500));
    const core::StoreRevision known = test.feed.registry().received_revision();
    platform::ObjectChanges changes{{}, known.revision, known.era};
    const auto value = std::make_shared<const nlohmann::json>(
        tests::DeskServer("127.0.0.1:5"));
    odd_names.push_back("w12");
    for (const std::string& name : odd_names) {
      changes.changes.push_back({{name, ++changes.revision, value, ""}, false});
    }
    odd_names.pop_back();
    test.feed.ApplyPeerChanges(changes);
    check_names();
    CHECK(test.Knows("w12"));
  }
}

TEST_CASE("an entry that can't be read is told once while it stands") {
  OddNamesTest test;
  const auto write_again = [&](const nlohmann::json& value) {
    test.store.Put("servers", "w03 #", value);
    test.gateway.RunFor(Milliseconds(1000));
  };
  const auto is_told = [&](int times) {
    return test.gateway.metrics.Print().find(
               "carawayvalve_unreadable_objects_total{kind=\"servers\","
               "what=\"entry\"} " +
               std::to_string(times) + "\n") != std::string::npos;
  };
  nlohmann::json value = tests::DeskServer("127.0.0.1:5");
  test.store.Put("servers", "w03 #", value);
  test.feed.Start();
  test.ReadList();
  CHECK(is_told(1));
  for (int slots = 5; slots < 7; ++slots) {
    value["slots"] = slots;
    write_again(value);
  }
  CHECK(is_told(1));

  SUBCASE("also when the list is read again") {
    test.store.Put("servers", "w12", tests::DeskServer("127.0.0.1:13"));
    test.store.Compact();
    test.gateway.RunFor(Milliseconds(1500));
    CHECK(test.Knows("w12"));
    CHECK(is_told(1));
  }
  SUBCASE("and again once it was gone") {
    test.store.Remove("servers", "w03 #");
    test.gateway.RunFor(Milliseconds(1000));
    write_again(value);
    CHECK(is_told(2));
  }
}

TEST_CASE("a gateway's entry with an odd name names no peer") {
  OddNamesTest test;
  test.store.page_size = 1;
  for (const std::string& bytes : tests::OddBytes()) {
    test.store.Put("carawayvalve-hosts", "edge-1" + bytes,
                   {{"address", "127.0.0.1:8"}});
  }
  test.store.Put("carawayvalve-hosts", "edge-2", {{"address", "127.0.0.1:9"}});
  std::set<std::string> peers;
  HostRegistry registry(test.gateway.context, test.objects,
                        [&](const base::HostId& host, const base::Address&) {
                          peers.insert(host.value);
                        });
  registry.Start();
  test.gateway.RunFor(Milliseconds(500));
  CHECK(peers == std::set<std::string>{"edge-2"});
}

// Guards against a store that lists a kind without end, for which the bytes of
// its names would have to be mistaken.
TEST_CASE("a list that doesn't go on is asked for with pauses") {
  constexpr int kMostCalls = 12;
  std::string page = tests::ListOf({"w03"}, 1);
  const std::string is_last = "\"hasMore\":false";
  page.replace(page.find(is_last), is_last.size(), "\"hasMore\":true");
  TestGateway gateway(TestSettings());
  std::map<std::string, int> lists;
  net::HttpServer store(
      gateway.loop, {"127.0.0.1", 0}, [&](const auto& exchange) {
        const std::string& target = exchange->request().target;
        const std::string kind = target.substr(0, target.find('?'));
        ++lists[kind];
        exchange->Respond({{200, {}}, page});
      });
  platform::ObjectClient objects(gateway.loop, {"127.0.0.1", store.port()},
                                 Milliseconds(1000));
  StoreFeed feed(gateway.context, objects);
  HostRegistry hosts(gateway.context, objects,
                     [](const base::HostId&, const base::Address&) {});
  RecentStore recent(gateway.context, objects, feed);
  feed.Start();
  hosts.Start();
  recent.Read([](bool /*is_complete*/) {});
  gateway.RunFor(Milliseconds(1500));
  CHECK(lists.size() >= 4);
  for (const auto& list : lists) {
    CAPTURE(list.first);
    CHECK(list.second <= kMostCalls);
  }
}

}  // namespace carawayvalve::gateway
