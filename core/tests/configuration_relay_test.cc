// proof 14: An accepted configuration is in force everywhere and never reverts.

#include "carawayvalve/core/configuration_relay.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>

namespace carawayvalve::core {

namespace {

std::vector<EntryHost> MakeHosts(const std::vector<uint8_t>& data_centres) {
  std::vector<EntryHost> hosts;
  hosts.reserve(data_centres.size());
  for (const uint8_t data_centre : data_centres) {
    hosts.push_back({{"h" + std::to_string(hosts.size())},
                     {std::to_string(data_centre % 3)}});
  }
  return hosts;
}

config::Configuration MakeConfiguration(int64_t generation,
                                        const std::string& key = "") {
  config::Configuration configuration;
  configuration.generation = generation;
  configuration.keys = {{key, {"guild"}, ""}};
  return configuration;
}

}  // namespace

TEST_CASE("All processes choose the same watchers") {
  CHECK(rc::check(
      "the order of the list is irrelevant, and a lost host changes one "
      "watcher",
      [](const std::vector<uint8_t>& shapes, uint64_t seed) {
        RC_PRE(!shapes.empty());
        std::vector<EntryHost> hosts = MakeHosts(shapes);
        std::mt19937_64 generator(seed);
        const EntryHost lost = hosts[seed % hosts.size()];
        const auto watchers = ChooseWatchers(hosts, lost.data_centre);
        const auto in_data_centre = static_cast<size_t>(std::count_if(
            hosts.begin(), hosts.end(), [&](const EntryHost& host) {
              return host.data_centre == lost.data_centre;
            }));
        RC_ASSERT(watchers.size() ==
                  std::min(in_data_centre, kWatchersPerDataCentre));
        std::shuffle(hosts.begin(), hosts.end(), generator);
        RC_ASSERT(ChooseWatchers(hosts, lost.data_centre) == watchers);
        std::erase(hosts, lost);
        const auto remaining = ChooseWatchers(hosts, lost.data_centre);
        for (const base::HostId& watcher : watchers) {
          RC_ASSERT(watcher == lost.host || remaining.contains(watcher));
        }
      }));
}

TEST_CASE("Sources and peers") {
  const std::vector<EntryHost> hosts =
      MakeHosts({0, 0, 0, 0, 0, 1, 1, 1, 1, 2});
  const auto watchers = ChooseWatchers(hosts, {"0"});

  SUBCASE("the watchers of its own data centre are the first sources") {
    const auto self = std::find_if(
        hosts.begin(), hosts.end(),
        [&](const EntryHost& host) { return !watchers.contains(host.host); });
    const auto sources = OrderSources(hosts, *self);
    REQUIRE(sources.size() == 9);
    CHECK(std::set(sources.begin(), sources.begin() + 2) == watchers);
    CHECK(std::find(sources.begin(), sources.end(), self->host) ==
          sources.end());
    for (size_t i = 4; i < sources.size(); ++i) {
      CHECK(sources[i] >= base::HostId{"h5"});
    }
  }
  SUBCASE("peers are taken evenly from all data centres") {
    const auto peers = ChoosePeers(hosts, hosts[0], 6);
    REQUIRE(peers.size() == 6);
    std::map<bool, int> here;
    for (const base::HostId& peer : peers) {
      here[peer < base::HostId{"h5"}] += 1;
    }
    CHECK(here[true] <= 3);
    CHECK(std::count(peers.begin(), peers.end(), base::HostId{"h9"}) == 1);
    CHECK(ChoosePeers(hosts, hosts[0], 100).size() == 9);
  }
}

TEST_CASE("CurrentConfiguration") {
  CHECK(rc::check(
      "the generation is the highest one offered",
      [](const std::vector<uint8_t>& offers) {
        CurrentConfiguration configuration(MakeConfiguration(0));
        int64_t highest = 0;
        for (const uint8_t offer : offers) {
          const auto result = configuration.Offer(MakeConfiguration(offer));
          RC_ASSERT((result == OfferResult::kApplied) == (offer > highest));
          highest = std::max<int64_t>(highest, offer);
          RC_ASSERT(configuration.generation() == highest);
        }
      }));
  SUBCASE("different configurations of one generation conflict") {
    CurrentConfiguration configuration(MakeConfiguration(3, "a"));
    CHECK(configuration.Offer(MakeConfiguration(3, "a")) ==
          OfferResult::kNotNewer);
    CHECK(configuration.Offer(MakeConfiguration(3, "b")) ==
          OfferResult::kConflict);
    CHECK(configuration.current() == MakeConfiguration(3, "a"));
  }
}

TEST_CASE("StartupCheck") {
  const std::vector<base::HostId> peers = {{"h1"}, {"h2"}, {"h3"}};
  StartupCheck check;

  SUBCASE("an answer of the store suffices if there is a configuration") {
    check.NoteStoreAnswer();
    CHECK(check.IsReady(peers, 1));
    CHECK_FALSE(check.IsReady(peers, 0));
  }
  SUBCASE("otherwise a majority of the peers is needed") {
    check.NotePeerAnswer({"h1"});
    check.NotePeerAnswer({"h9"});
    CHECK_FALSE(check.IsReady(peers, 1));
    check.NotePeerAnswer({"h3"});
    CHECK(check.IsReady(peers, 1));
    CHECK_FALSE(check.IsReady({}, 1));
  }
}

}  // namespace carawayvalve::core
