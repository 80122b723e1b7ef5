#include "carawayvalve/core/routing.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "carawayvalve/base/error.h"

namespace carawayvalve::core {

namespace {

using base::Instant;
using base::Milliseconds;

const Instant kStart;

RoutingQuery MakePrompt() {
  RoutingQuery query;
  query.service = {"bench"};
  query.model = base::ModelId{"m"};
  query.prompt_tokens = 10000;
  return query;
}

const RoutingQuery kPrompt = MakePrompt();

BackendView MakeView(const std::string& name) {
  return {.backend_server = {name},
          .service = {"bench"},
          .data_centre = {"here"},
          .ready = true,
          .slots = 1000,
          .prefill_tokens_per_second = 10000,
          .models = {{"m"}},
          .reported = kStart};
}

RoutingSettings MakeSettings() {
  RoutingSettings settings;
  settings.data_centre = {"here"};
  return settings;
}

std::string NameOf(const RoutingResult& result) {
  const auto* choice = std::get_if<RoutingChoice>(&result);
  return choice == nullptr ? "" : choice->backend_server.value;
}

}  // namespace

TEST_CASE("Router") {
  Router::Generator generator(1);
  Router router(MakeSettings());
  BackendView one = MakeView("b1");
  BackendView other = MakeView("b2");
  const auto choose = [&](const RoutingQuery& query, Instant now = kStart) {
    return NameOf(router.Choose(query, now, generator));
  };

  SUBCASE("an answer goes on at the software version that began it") {
    one.software_version = "v1";
    other.software_version = "v2";
    router.Update(one);
    router.Update(other);
    RoutingQuery query = kPrompt;
    query.software_version = "v2";
    CHECK(choose(query) == "b2");
    query.excluded = {{"b2"}};
    CHECK(choose(query) == "b2");
    router.Remove({"b2"});
    CHECK(choose(query).empty());
  }
  SUBCASE("one that limits its requests gets one after another") {
    one.requests_per_second = 2;
    router.Update(one);
    const auto wait = [&] {
      return router.Estimate({"b1"}, kPrompt, kStart).expected_wait;
    };
    const base::Duration idle = wait();
    router.NoteSent({"a1"}, router.Estimate({"b1"}, kPrompt, kStart), kStart);
    CHECK(wait() >= Milliseconds(500));
    router.NoteEnded({"a1"});
    CHECK(wait() == idle);
  }
  const auto wait_at = [&](const char* name, Instant now = kStart) {
    return base::ToMilliseconds(
        router.Estimate({name}, kPrompt, now).expected_wait);
  };

  SUBCASE("the wait is queued work, cross-data-centre delay and prefill") {
    one.queued_prefill_tokens = 5000;
    router.Update(one);
    CHECK(wait_at("b1") == 1500);
    one.data_centre = {"there"};
    router.Update(one);
    CHECK(wait_at("b1") == 1503);
    CHECK(wait_at("b1", kStart + Milliseconds(400)) == 1103);
  }
  SUBCASE("the wait at a full backend server includes that for a slot") {
    one.slots = one.running_requests = 4;
    one.decode_tokens_per_second = 2560;
    router.Update(one);
    CHECK(wait_at("b1") == 1100);
  }
  SUBCASE("a sent attempt counts until a status includes it or it ends") {
    router.Update(one);
    const RoutingChoice choice = router.Estimate({"b1"}, kPrompt, kStart);
    router.NoteSent({"a1"}, choice, kStart);
    router.NoteSent({"a2"}, choice, kStart);
    CHECK(wait_at("b1") == 3000);
    router.NoteEnded({"a1"});
    CHECK(wait_at("b1") == 2000);
    one.reported = kStart + Milliseconds(100);
    router.Update(one);
    // The figures may be older than the status, so the attempt counts in full.
    CHECK(wait_at("b1", one.reported) == 2000);
    one.reported = kStart + Milliseconds(200);
    router.Update(one);
    CHECK(wait_at("b1", one.reported) == 1000);
  }
  SUBCASE("a cached prefix is preferred unless its queue is too long") {
    RoutingQuery query = kPrompt;
    query.prefix_hashes = {1, 2, 3, 4};
    for (int i = 0; i < 30; ++i) {
      router.Update(MakeView("c" + std::to_string(i)));
    }
    one.queued_prefill_tokens = 4000;
    router.Update(one);
    for (const PrefixHash hash : query.prefix_hashes) {
      router.prefixes().Add({"b1"}, hash, kStart);
    }
    CHECK(choose(query) == "b1");
    one.queued_prefill_tokens = 10000;
    router.Update(one);
    CHECK(choose(query) != "b1");
  }
  SUBCASE("a retry avoids excluded backend servers while there are others") {
    RoutingQuery query = kPrompt;
    query.excluded = {{"b1"}};
    router.Update(one);
    CHECK(choose(query) == "b1");
    other.queued_prefill_tokens = 1000000;
    router.Update(other);
    CHECK(choose(query) == "b2");
    other.leaving = true;
    router.Update(other);
    CHECK(choose(query) == "b1");
  }
  SUBCASE("a backend server with a stale status is avoided") {
    router.Update(one);
    other.queued_prefill_tokens = 1000000;
    other.reported = kStart + std::chrono::seconds(9);
    router.Update(other);
    CHECK(choose(kPrompt, other.reported) == "b2");
  }
  SUBCASE("roles") {
    one.role = config::EngineRole::kPrefill;
    other.role = config::EngineRole::kDecode;
    router.Update(one);
    router.Update(other);
    RoutingQuery query = kPrompt;
    query.stage = RequestStage::kPrefill;
    CHECK(choose(query) == "b1");
    query.stage = RequestStage::kDecode;
    CHECK(choose(query) == "b2");
    CHECK(router.Estimate({"b2"}, query, kStart).expected_wait.count() == 0);

    SUBCASE("a small prefill goes to a decode engine only under load") {
      BackendView mixed = MakeView("b3");
      router.Update(mixed);
      query.stage = RequestStage::kWhole;
      query.prompt_tokens = 2048;
      CHECK(choose(query) == "b3");
      mixed.queued_prefill_tokens = 10000;
      router.Update(mixed);
      CHECK(choose(query) == "b2");
      query.prompt_tokens = 2049;
      CHECK(choose(query) == "b3");
    }
  }
  SUBCASE("policies are parsed by name") {
    CHECK(ParseRoutingPolicy("round-robin") ==
          RoutingPolicy(RoundRobinPolicy{}));
    CHECK_THROWS_AS(ParseRoutingPolicy("best"), base::Error);
  }
  SUBCASE("round robin alternates between backend servers") {
    RoutingSettings settings = MakeSettings();
    settings.policy = RoundRobinPolicy{};
    Router round_robin(settings);
    round_robin.Update(one);
    round_robin.Update(other);
    std::string order;
    for (int i = 0; i < 4; ++i) {
      order += NameOf(round_robin.Choose(kPrompt, kStart, generator));
    }
    CHECK(order == "b1b2b1b2");
  }
}

TEST_CASE("Router chooses only ready backend servers of the service") {
  CHECK(rc::check(
      "each policy finds one if and only if one exists, excluded ones last",
      [](const std::vector<uint8_t>& shapes, uint8_t policy, uint64_t seed) {
        RoutingSettings settings = MakeSettings();
        const RoutingPolicy policies[] = {ExpectedWaitPolicy{},
                                          RoundRobinPolicy{}, RandomPolicy{}};
        settings.policy = policies[policy % 3];
        Router router(settings);
        RoutingQuery query = kPrompt;
        std::set<std::string> preferred;
        std::set<std::string> others;
        for (size_t i = 0; i < shapes.size(); ++i) {
          const uint8_t shape = shapes[i];
          BackendView view = MakeView(std::to_string(i));
          view.ready = (shape & 1) != 0;
          view.leaving = (shape & 6) == 6;
          view.service = {(shape & 24) == 24 ? "desk" : "bench"};
          view.models = {{(shape & 96) == 96 ? "n" : "m"}};
          const bool excluded = (shape & 128) != 0;
          if (excluded) {
            query.excluded.insert(view.backend_server);
          }
          router.Update(view);
          if (view.ready && !view.leaving && view.service == query.service &&
              view.models.front() == *query.model) {
            (excluded ? others : preferred).insert(view.backend_server.value);
          }
        }
        Router::Generator generator(seed);
        const std::string chosen =
            NameOf(router.Choose(query, kStart, generator));
        const std::set<std::string>& fit =
            preferred.empty() ? others : preferred;
        RC_ASSERT(fit.contains(chosen) || (fit.empty() && chosen.empty()));
      }));
}

TEST_CASE("Router spreads a burst between two statuses") {
  CHECK(rc::check("no backend server gets far more attempts than the mean",
                  [](uint64_t seed) {
                    constexpr int kBackends = 20;
                    constexpr int kMean = 10;
                    Router router(MakeSettings());
                    for (int i = 0; i < kBackends; ++i) {
                      router.Update(MakeView(std::to_string(i)));
                    }
                    Router::Generator generator(seed);
                    std::map<std::string, int> sent;
                    for (int i = 0; i < kBackends * kMean; ++i) {
                      const auto choice = std::get<RoutingChoice>(
                          router.Choose(kPrompt, kStart, generator));
                      router.NoteSent({std::to_string(i)}, choice, kStart);
                      RC_ASSERT(++sent[choice.backend_server.value] <=
                                kMean + 4);
                    }
                  }));
}

}  // namespace carawayvalve::core
