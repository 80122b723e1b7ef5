#include "store_feed.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

#include "carawayvalve/base/process_memory.h"
#include "platform/long_list.h"
#include "platform/store.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using std::chrono::seconds;

namespace {

GatewaySettings TestSettings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.store.watch_wait = Milliseconds(50);
  settings.bounds.key_withdrawal = Milliseconds(2000);
  return settings;
}

nlohmann::json DeskServer() {
  return {{"service", "desk"}, {"addr", "127.0.0.1:1"},
          {"zone", "a"},       {"version", "v1"},
          {"slots", 4},        {"state", "up"},
          {"born", 1}};
}

}  // namespace

TEST_CASE("entries that are none are not kept until the list ends") {
  constexpr int64_t kPages = 300;
  constexpr int64_t kMaxGrowth = int64_t{64} * 1024 * 1024;
  TestGateway gateway(TestSettings());
  tests::LongList store(gateway.loop, "servers", kPages);
  platform::ObjectClient objects(gateway.loop, store.address(), seconds(10));
  StoreFeed feed(gateway.context, objects);
  const int64_t before = base::ResidentBytes();
  int64_t most = before;
  net::Timer look(gateway.loop);
  std::function<void()> next = [&] {
    most = std::max(most, base::ResidentBytes());
    if (feed.registry().confirmed().has_value()) {
      gateway.loop.Stop();
    } else {
      look.Start(Milliseconds(5), next);
    }
  };
  look.Start(Milliseconds(5), next);
  feed.Start();
  gateway.RunFor(seconds(60));
  CHECK(store.listed() == kPages);
  CHECK(most - before < kMaxGrowth);
}

// Guards against a gateway that fills its memory and tables with a list of ever
// new servers.
TEST_CASE("a list of backend servers that is too long") {
  constexpr size_t kMemoryBytes = size_t{2} * 1024 * 1024;
  constexpr size_t kMaxListed = kMemoryBytes / 8 / 1024;
  constexpr int kSpoilt = 400;
  const auto spoilt = [](int number) {
    return "n-" + std::to_string(1000 + number);
  };
  GatewaySettings settings = TestSettings();
  settings.memory_bytes = kMemoryBytes;
  TestGateway gateway(settings);
  tests::Store store(gateway.loop);
  platform::ObjectClient objects(
      gateway.loop, base::ParseAddress(store.address()), Milliseconds(1000));
  StoreFeed feed(gateway.context, objects);
  const core::BackendDirectory& directory = gateway.state.directory;
  size_t most = 0;
  store.on_page = [&](const std::string&) {
    most = std::max(most, directory.entries().size());
  };
  const auto spoil = [&] {
    for (int i = 0; i < kSpoilt; ++i) {
      store.Put("servers", spoilt(i), DeskServer());
    }
  };
  const auto mend = [&] {
    for (int i = 0; i < kSpoilt; ++i) {
      store.Remove("servers", spoilt(i));
    }
  };

  SUBCASE("is begun again from the start until it is short enough") {
    store.Put("servers", "z-1", DeskServer());
    spoil();
    feed.Start();
    gateway.RunFor(seconds(2));
    const auto& pages = store.pages["servers"];
    const auto lists = std::count(pages.begin(), pages.end(), "");
    CHECK(lists >= 2);
    CHECK(lists <= 10);
    CHECK(most > 0);
    CHECK(most <= kMaxListed);
    CHECK_FALSE(feed.registry().confirmed().has_value());

    SUBCASE("and none of its servers stays") {
      mend();
      gateway.RunFor(seconds(1));
      CHECK(feed.registry().confirmed().has_value());
      CHECK(directory.entries().size() == 1);
      CHECK(directory.Find({"z-1"}) != nullptr);
    }
  }
  SUBCASE("leaves the servers of the list before") {
    store.Put("servers", "z-1", DeskServer());
    feed.Start();
    gateway.RunFor(Milliseconds(300));
    CHECK(directory.entries().size() == 1);
    store.refuses = true;
    gateway.RunFor(Milliseconds(200));
    spoil();
    store.Compact();
    store.refuses = false;
    gateway.RunFor(seconds(3));
    CHECK(most > 1);
    CHECK(most <= kMaxListed + 1);
    CHECK(directory.Find({"z-1"}) != nullptr);
  }
  SUBCASE("has the texts of its servers counted") {
    constexpr size_t kTextBytes = 1000;
    nlohmann::json server = DeskServer();
    server["version"] = std::string(kTextBytes, 'v');
    server["zone"] = std::string(kTextBytes, 'z');
    for (int i = 0; i < kSpoilt; ++i) {
      store.Put("servers", spoilt(i), server);
    }
    feed.Start();
    gateway.RunFor(seconds(1));
    CHECK(most > 0);
    CHECK(most * 2 * kTextBytes <= kMemoryBytes / 8);
  }
  SUBCASE("is dropped as the store turns out to be of a later era") {
    spoil();
    store.stated_era = "";
    store.on_page = [&](const std::string& after) {
      most = std::max(most, directory.entries().size());
      if (!after.empty()) {
        mend();
        store.Put("servers", "z-1", DeskServer());
        store.Put("servers", "z-2", DeskServer());
        store.stated_era.reset();
        store.on_page = [](const std::string&) {};
      }
    };
    feed.Start();
    gateway.RunFor(Milliseconds(300));
    CHECK(most == 50);
    CHECK(directory.entries().size() == 2);
    CHECK(directory.Find({"z-2"}) != nullptr);
  }
}

// Guards against a bound that leaves out servers of a large fleet.
TEST_CASE("a list of thousands of backend servers is followed") {
  constexpr int kServers = 10000;
  TestGateway gateway(TestSettings());
  tests::Store store(gateway.loop);
  for (int i = 0; i < kServers; ++i) {
    store.Put("servers", "i-" + std::to_string(10000 + i), DeskServer());
  }
  platform::ObjectClient objects(
      gateway.loop, base::ParseAddress(store.address()), seconds(10));
  StoreFeed feed(gateway.context, objects);
  net::Timer look(gateway.loop);
  std::function<void()> next = [&] {
    if (feed.registry().confirmed().has_value()) {
      gateway.loop.Stop();
    } else {
      look.Start(Milliseconds(5), next);
    }
  };
  next();
  feed.Start();
  gateway.RunFor(seconds(60));
  CHECK(gateway.state.directory.entries().size() == kServers);
}

TEST_CASE("StoreFeed follows the store") {
  TestGateway gateway(TestSettings());
  tests::Store store(gateway.loop);
  store.Put("config", "main",
            {{"version", 1},
             {"routes", nlohmann::json::array()},
             {"services", nlohmann::json::array()}});
  platform::ObjectClient objects(
      gateway.loop, base::ParseAddress(store.address()), Milliseconds(1000));
  StoreFeed feed(gateway.context, objects);

  SUBCASE("lists changes that are too large to be read at once") {
    objects.SetBudget(gateway.answers);
    feed.Start();
    gateway.RunFor(Milliseconds(300));
    store.down = true;
    gateway.RunFor(Milliseconds(100));
    nlohmann::json large = DeskServer();
    large["note"] = std::string(size_t{900} * 1024, 'x');
    for (int i = 0; i < 12; ++i) {
      store.Put("servers", "large-" + std::to_string(i), large);
    }
    store.Put("servers", "small", DeskServer());
    store.down = false;
    gateway.RunFor(seconds(3));
    CHECK(gateway.state.directory.Find({"large-0"}) != nullptr);
    CHECK(gateway.state.directory.Find({"large-11"}) != nullptr);
    CHECK(gateway.state.directory.Find({"small"}) != nullptr);
    const auto& counts = objects.counts().by_reason();
    CHECK(counts.at({"watch servers", "too_large"}) == 1);
    CHECK(gateway.answers->used() == 0);
  }
  SUBCASE("renews watches no more often than planned") {
    feed.SetWatchWaits(
        {{Milliseconds(50), std::nullopt}, {seconds(60), std::nullopt}});
    feed.Start();
    gateway.RunFor(seconds(1));
    CHECK(store.watches["servers"] == 1);
    CHECK(store.watches["config"] > 1);

    SUBCASE("and counts its calls by what they were for") {
      const auto& counts = objects.counts().by_reason();
      CHECK(counts.at({"list config", "answered"}) == 1);
      CHECK(counts.at({"watch config", "empty"}) ==
            store.watches["config"] - 1);
      CHECK(!counts.contains({"watch servers", "empty"}));
    }

    SUBCASE("and receives changes at once") {
      store.Put("servers", "i-1", DeskServer());
      gateway.RunFor(seconds(1));
      CHECK(gateway.state.directory.Find({"i-1"}) != nullptr);
    }
  }
  SUBCASE("changes of other kinds do not advance the registry revision") {
    store.Put("servers", "i-1", DeskServer());
    feed.SetWatchWaits(
        {{seconds(60), std::nullopt}, {seconds(60), std::nullopt}});
    feed.Start();
    gateway.RunFor(Milliseconds(300));
    store.Put("leases", "duties", {{"holder", "other"}});
    StoreFeed second_feed(gateway.context, objects);
    second_feed.Start();
    gateway.RunFor(Milliseconds(300));
    CHECK(second_feed.registry_revision() == feed.registry_revision());

    SUBCASE("but a change of a backend server does") {
      const auto before = second_feed.registry_revision();
      store.Put("servers", "i-2", DeskServer());
      StoreFeed third_feed(gateway.context, objects);
      third_feed.Start();
      gateway.RunFor(Milliseconds(300));
      CHECK(third_feed.registry_revision() > before);
    }
  }
  SUBCASE("lists more backend servers than a page holds") {
    constexpr int kServers = 120;
    const auto server = [](int number) {
      return "i-" + std::to_string(number);
    };
    for (int i = 0; i < kServers; ++i) {
      store.Put("servers", server(1000 + i), DeskServer());
    }
    const core::BackendDirectory& directory = gateway.state.directory;

    SUBCASE("those of the first page at once, whatever becomes of the rest") {
      store.refuses_further_pages = true;
      feed.Start();
      gateway.RunFor(Milliseconds(300));
      CHECK(directory.entries().size() == 50);
      CHECK(directory.Find({server(1000)}) != nullptr);

      SUBCASE("and goes on at the page that failed") {
        store.refuses_further_pages = false;
        gateway.RunFor(seconds(1));
        CHECK(directory.entries().size() == kServers);
        const auto& pages = store.pages["servers"];
        CHECK(std::count(pages.begin(), pages.end(), "") == 1);
      }
    }
    SUBCASE("while they change") {
      bool changed = false;
      store.on_page = [&](const std::string& after) {
        if (after.empty() || std::exchange(changed, true)) {
          return;
        }
        nlohmann::json draining = DeskServer();
        draining["state"] = "draining";
        store.Put("servers", server(1000), draining);
        store.Put("servers", server(1119), draining);
        store.Remove("servers", server(1001));
      };
      feed.Start();
      gateway.RunFor(seconds(1));
      CHECK(directory.Find({server(1000)})->draining);
      CHECK(directory.Find({server(1119)})->draining);
      CHECK(directory.Find({server(1001)}) == nullptr);
      CHECK(directory.entries().size() == kServers - 1);
    }
  }
  SUBCASE("polls the store when its confirmation is old") {
    feed.SetWatchWaits(
        {{seconds(60), std::nullopt}, {seconds(60), std::nullopt}});
    feed.Start();
    gateway.RunFor(Milliseconds(1500));
    const base::Instant now = base::Now();
    CHECK(gateway.state.key_freshness.Age(now) > Milliseconds(1200));
    feed.RenewFreshness(now);
    gateway.RunFor(Milliseconds(500));
    CHECK(gateway.state.key_freshness.Age(now) < Milliseconds(100));

    SUBCASE("and does not poll while its confirmation is recent") {
      const int watches_before = store.watches["config"];
      feed.RenewFreshness(base::Now());
      gateway.RunFor(Milliseconds(100));
      CHECK(store.watches["config"] == watches_before);
    }
  }
}

}  // namespace carawayvalve::gateway
