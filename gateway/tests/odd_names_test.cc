// Guards against entries of other writers whose names aren't names of backend
// servers: they stop no list, and name no server.
#include <doctest/doctest.h>

#include <string>

#include "carawayvalve/platform/objects.h"
#include "platform/desk.h"
#include "platform/odd_names.h"
#include "platform/store.h"
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

}  // namespace carawayvalve::gateway
