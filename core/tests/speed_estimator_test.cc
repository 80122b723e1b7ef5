#include "carawayvalve/core/speed_estimator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace carawayvalve::core {

namespace {

using Ms = std::chrono::duration<double, std::milli>;

const base::ServiceId kModels{"models"};
const base::ServiceId kDesk{"desk"};
// Prompts after which the estimate is to be within a quarter of the truth.
constexpr int kPromptsToConverge = 256;
constexpr double kQuarter = 1.25;

base::Duration FromMs(double ms) {
  return std::chrono::duration_cast<base::Duration>(Ms(ms));
}

double ToMs(base::Duration duration) {
  return Ms(duration).count();
}

// An engine whose times are measured by a gateway.
struct Engine {
  double tokens_per_ms = 0;
  double base_ms = 0;

  double TimeOf(int64_t tokens) const {
    return this->base_ms + static_cast<double>(tokens) / this->tokens_per_ms;
  }
};

// Engines of one kind, of which a few are slow, a few requests wait for others
// that the gateway doesn't know, and a few prompts are cached unexpectedly.
class Fleet {
 public:
  Fleet(const Engine& engine, unsigned seed)
      : engine(engine), generator(seed) {}

  PrefillObserved Prefill() {
    // Lengths of prompts vary as in the users' fleets.
    const int64_t tokens =
        std::llround(std::exp(std::normal_distribution<double>(
            std::log(3000), 0.7)(this->generator)));
    double ms = this->engine.TimeOf(tokens);
    if (this->Chance(0.1)) {
      ms *= 5;
    }
    if (this->Chance(0.3)) {
      ms += std::exponential_distribution<double>(1 / ms)(this->generator);
    }
    if (this->Chance(0.06)) {
      ms = this->engine.base_ms;
    }
    return {tokens, FromMs(ms)};
  }

 private:
  bool Chance(double probability) {
    return std::bernoulli_distribution(probability)(this->generator);
  }

  Engine engine;
  std::mt19937 generator;
};

double PredictedMs(const EngineSpeeds& speeds, int64_t tokens) {
  return ToMs(speeds.prefill_base) +
         static_cast<double>(tokens) / speeds.prefill_tokens_per_ms;
}

bool WithinQuarter(double estimate, double truth) {
  return estimate < truth * kQuarter && truth < estimate * kQuarter;
}

}  // namespace

TEST_CASE("before any request the prior holds") {
  const SpeedEstimator estimator(EngineSpeeds{});
  CHECK(estimator.SpeedsOf(kModels) == EngineSpeeds{});
}

TEST_CASE("engines are as fast as the prior says") {
  const EngineSpeeds prior;
  SpeedEstimator estimator(prior);
  Fleet fleet({prior.prefill_tokens_per_ms, ToMs(prior.prefill_base)}, 1);
  int changes = 0;
  for (int i = 0; i < 500; ++i) {
    changes += estimator.Note(kModels, fleet.Prefill()) ? 1 : 0;
  }
  CHECK(changes == 0);
  CHECK(estimator.SpeedsOf(kModels) == prior);
}

// Guards against placement by the figures of one fleet's engines: those of
// others read ten times as fast, and refuse by these figures what they could
// serve at once.
TEST_CASE("engines over two orders of magnitude of speed") {
  CHECK(rc::check("the time of a prompt is foreseen within a quarter", [] {
    const Engine engine{std::exp(*rc::gen::inRange(0, 461) / 100.0) * 10,
                        1 + *rc::gen::inRange(0, 200) / 10.0};
    SpeedEstimator estimator(EngineSpeeds{});
    Fleet fleet(engine, *rc::gen::arbitrary<unsigned>());
    const auto check = [&] {
      // Half and twice the mean length of a prompt.
      for (const int64_t tokens : {1500, 3000, 6000}) {
        RC_ASSERT(
            WithinQuarter(PredictedMs(estimator.SpeedsOf(kModels), tokens),
                          engine.TimeOf(tokens)));
      }
    };
    for (int i = 0; i < kPromptsToConverge; ++i) {
      estimator.Note(kModels, fleet.Prefill());
    }
    check();
    for (int i = 0; i < 1000; ++i) {
      estimator.Note(kModels, fleet.Prefill());
    }
    check();
  }));
}

TEST_CASE("new engines replace the fleet's") {
  SpeedEstimator estimator(EngineSpeeds{});
  Fleet slow({50, 10}, 1);
  Fleet fast({600, 10}, 2);
  for (int i = 0; i < 300; ++i) {
    estimator.Note(kModels, slow.Prefill());
  }
  for (int i = 0; i < 300; ++i) {
    estimator.Note(kModels, fast.Prefill());
  }
  CHECK(WithinQuarter(PredictedMs(estimator.SpeedsOf(kModels), 3000), 15));
}

TEST_CASE("first events and steps of decode engines") {
  SpeedEstimator estimator(EngineSpeeds{});
  for (int i = 0; i < 200; ++i) {
    const int64_t requests = i % 6;
    estimator.Note(kModels,
                   FirstEventObserved{requests, FromMs(2.0 + 0.5 * requests)});
  }
  const EngineSpeeds& speeds = estimator.SpeedsOf(kModels);
  CHECK(WithinQuarter(ToMs(speeds.first_event), 2));
  CHECK(WithinQuarter(ToMs(speeds.step_per_request), 0.5));
  CHECK(speeds.prefill_tokens_per_ms == EngineSpeeds{}.prefill_tokens_per_ms);
}

// Guards against waits that are expected to be negative, after which an engine
// counts as silent at once: most requests meet an idle engine, and those that
// don't were lucky.
TEST_CASE("first events never come sooner with more requests") {
  SpeedEstimator estimator(EngineSpeeds{});
  for (int i = 0; i < 200; ++i) {
    const int64_t requests = i % 8 == 0 ? 10 : 0;
    estimator.Note(
        kModels, FirstEventObserved{requests, FromMs(requests == 0 ? 60 : 20)});
  }
  const EngineSpeeds& speeds = estimator.SpeedsOf(kModels);
  CHECK(speeds.step_per_request.count() >= 0);
  CHECK(speeds.first_event.count() >= 0);
}

TEST_CASE("plain services have a duration each") {
  SpeedEstimator estimator(EngineSpeeds{});
  for (int i = 0; i < 100; ++i) {
    const int64_t requests = i % 12;
    estimator.Note(kDesk, PlainAnswerObserved{
                              requests, 6, FromMs(90.0 * (6 + requests) / 6)});
    estimator.Note(kModels, PlainAnswerObserved{0, 6, FromMs(10)});
  }
  CHECK(WithinQuarter(ToMs(estimator.SpeedsOf(kDesk).plain_request), 90));
  CHECK(WithinQuarter(ToMs(estimator.SpeedsOf(kModels).plain_request), 10));
}

TEST_CASE("the time for which slots are held follows the requests") {
  SpeedEstimator estimator(EngineSpeeds{});
  for (int i = 0; i < 400; ++i) {
    estimator.Note(kModels, SlotTimeObserved{FromMs(i % 10 == 0 ? 300 : 10)});
  }
  const double mean = ToMs(estimator.SpeedsOf(kModels).slot_time);
  CHECK(mean > 20);
  CHECK(mean < 80);

  SUBCASE("a stuck request counts only so much") {
    estimator.Note(kModels, SlotTimeObserved{std::chrono::hours(1)});
    CHECK(ToMs(estimator.SpeedsOf(kModels).slot_time) < mean + 100);
  }
}

// Guards against gateways that each relearn, from a few requests of their own,
// what all of them together have seen.
TEST_CASE("gateways tell each other what they observe of speeds") {
  constexpr size_t kGateways = 28;
  const Engine engine{600, 5};
  Fleet fleet(engine, 1);
  std::vector<SpeedEstimator> gateways(kGateways, SpeedEstimator({}));
  for (int i = 0; i < kPromptsToConverge; ++i) {
    const PrefillObserved observed = fleet.Prefill();
    const size_t sender = static_cast<size_t>(i) % kGateways;
    const bool is_young = gateways[sender].IsYoung(kModels, observed);
    gateways[sender].Note(kModels, observed);
    for (size_t peer = 0; is_young && peer < kGateways; ++peer) {
      if (peer != sender) {
        gateways[peer].NotePeer(kModels, observed);
      }
    }
  }
  constexpr int64_t kPrompt = 3000;
  const double truth = engine.TimeOf(kPrompt);

  SUBCASE("all know them after a few prompts each") {
    for (const SpeedEstimator& gateway : gateways) {
      CHECK(WithinQuarter(PredictedMs(gateway.SpeedsOf(kModels), kPrompt),
                          truth));
    }
  }
  SUBCASE("one that has just started is told") {
    SpeedEstimator restarted({});
    const SharedSpeeds known = gateways.front().Known().at(kModels);
    CHECK(restarted.Adopt(kModels, known));
    CHECK(restarted.SpeedsOf(kModels) == known.speeds);

    SUBCASE("and tells nobody what it then observes") {
      CHECK_FALSE(restarted.IsYoung(kModels, fleet.Prefill()));
    }
    SUBCASE("and finds out when engines have become slower") {
      Fleet slower({200, 5}, 2);
      for (int i = 0; i < kPromptsToConverge; ++i) {
        restarted.Note(kModels, slower.Prefill());
      }
      CHECK(WithinQuarter(PredictedMs(restarted.SpeedsOf(kModels), kPrompt),
                          Engine{200, 5}.TimeOf(kPrompt)));
    }
  }
  SUBCASE("what rests on fewer observations, or can't be, isn't taken over") {
    SharedSpeeds other = gateways.back().Known().at(kModels);
    const EngineSpeeds before = gateways.front().SpeedsOf(kModels);
    other.speeds.first_event = std::chrono::seconds(1);
    CHECK_FALSE(gateways.front().Adopt(kModels, {other.speeds, 16}));
    other.speeds.prefill_tokens_per_ms = -1;
    CHECK_FALSE(gateways.front().Adopt(kModels, {other.speeds, 100000}));
    CHECK(gateways.front().SpeedsOf(kModels) == before);
  }
}

}  // namespace carawayvalve::core
