#include "carawayvalve/core/poison_request_tracker.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

namespace carawayvalve::core {

using base::Instant;
using std::chrono::minutes;
using std::chrono::seconds;

TEST_CASE("ContentDigest tells accounts apart") {
  CHECK(ContentDigest({"ab"}, "c") == ContentDigest({"ab"}, "c"));
  CHECK(ContentDigest({"ab"}, "c") != ContentDigest({"a"}, "bc"));
}

TEST_CASE("Suspects") {
  const Instant now;
  PoisonRequestTracker suspects({.time_to_live = minutes(10), .max_records = 3});
  suspects.NoteCrash("d", "death 1", now);

  SUBCASE("one death makes a suspect that isn't refused yet") {
    CHECK(suspects.CountCrashes("d", now) == 1);
    CHECK(suspects.CountCrashes("e", now) == 0);
    CHECK_FALSE(suspects.QuarantineLeft("d", now).has_value());

    SUBCASE("also when it is told twice") {
      suspects.NoteCrash("d", "death 1", now + seconds(1));
      CHECK_FALSE(suspects.QuarantineLeft("d", now + seconds(1)).has_value());
    }
  }
  SUBCASE("a second death has it refused, until the first has aged out") {
    suspects.NoteCrash("d", "death 2", now + minutes(4));
    CHECK(suspects.QuarantineLeft("d", now + minutes(4)) == minutes(6));
    CHECK_FALSE(suspects.QuarantineLeft("d", now + minutes(10)).has_value());
    CHECK(suspects.CountCrashes("d", now + minutes(10)) == 1);
  }
  SUBCASE("the oldest marks make room") {
    suspects.NoteCrash("e", "death 2", now + seconds(1));
    suspects.NoteCrash("f", "death 2", now + seconds(1));
    suspects.NoteCrash("g", "death 3", now + seconds(2));
    CHECK(suspects.size() == 3);
    CHECK(suspects.CountCrashes("d", now + seconds(2)) == 0);
  }
  SUBCASE("marks that go back and forth don't live for ever") {
    const PoisonRequestTracker::Settings settings{.time_to_live = seconds(615)};
    PoisonRequestTracker processes[] = {PoisonRequestTracker(settings), PoisonRequestTracker(settings)};
    processes[0].NoteCrash("d", "death 1", now);
    Instant at = now;
    for (int i = 0; i < 80; ++i) {
      const auto marks = processes[i % 2].Records(at);
      at += seconds(30);
      PoisonRequestTracker& receiver = processes[(i + 1) % 2];
      receiver.Prune(at);
      receiver.Merge(marks, at);
    }
    CHECK(processes[0].size() == 0);
    CHECK(processes[1].size() == 0);
  }
}

namespace {

// Merges the marks into one after the other, twice and in any order, and into
// another at once, and returns whether both end up alike.
bool AgreeInAnyOrder(std::vector<CrashRecord> marks,
                     uint64_t seed,
                     const PoisonRequestTracker::Settings& settings) {
  const Instant now = Instant() + minutes(60);
  PoisonRequestTracker one(settings);
  one.Merge(marks, now);
  const std::vector<CrashRecord> again = marks;
  marks.insert(marks.end(), again.begin(), again.end());
  std::shuffle(marks.begin(), marks.end(), std::mt19937_64(seed));
  PoisonRequestTracker other(settings);
  for (const CrashRecord& mark : marks) {
    other.Merge({mark}, now);
  }
  return one.Records(now) == other.Records(now) &&
         other.size() <= settings.max_records;
}

}  // namespace

TEST_CASE("Suspects agree however their marks are merged") {
  CHECK(rc::check("merging is commutative and idempotent, whatever the ages",
                  [](const std::vector<std::tuple<bool, bool, uint8_t>>& shapes,
                     uint64_t seed) {
                    std::vector<CrashRecord> marks;
                    marks.reserve(shapes.size());
                    for (const auto& [content, death, age] : shapes) {
                      marks.push_back({std::to_string(content),
                                       std::to_string(death), seconds(age)});
                    }
                    RC_ASSERT(AgreeInAnyOrder(marks, seed, {}));
                  }));
  CHECK(rc::check(
      "also beyond the bound, when the copies of a mark are of one age",
      [](const std::vector<std::pair<uint8_t, uint8_t>>& shapes,
         uint64_t seed) {
        std::vector<CrashRecord> marks;
        marks.reserve(shapes.size());
        for (const auto& [content, death] : shapes) {
          marks.push_back({std::to_string(content % 8), std::to_string(death),
                           seconds(death % 16)});
        }
        PoisonRequestTracker::Settings settings;
        settings.max_records = 6;
        RC_ASSERT(AgreeInAnyOrder(marks, seed, settings));
      }));
}

}  // namespace carawayvalve::core
