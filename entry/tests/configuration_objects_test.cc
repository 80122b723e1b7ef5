#include "configuration_objects.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

#include "lockstep.h"
#include "memory_objects.h"

namespace carawayvalve::entry::detail {

using config::Configuration;

namespace {

constexpr StoreOptions kSmallStore = {.max_chunk_bytes = 256,
                                      .kept_generations = 2,
                                      .sweep_interval = 2};

// Returns a change to one of a few contents, so that earlier contents recur.
ConfigurationFunction SetWeight(int32_t weight) {
  return [weight](const Configuration& current) {
    Configuration next = current;
    next.declaration.client_accounts = {{{"guild"}, weight}};
    return next;
  };
}

int32_t WeightOf(const Configuration& configuration) {
  return configuration.declaration.client_accounts.empty()
             ? 0
             : configuration.declaration.client_accounts[0].weight;
}

std::set<std::string> ChunkDigests(const MemoryObjects& api) {
  std::set<std::string> digests;
  for (const systems::Object& chunk : api.List(kChunkKind).objects) {
    digests.insert(chunk.name.substr(0, chunk.name.rfind('-')));
  }
  return digests;
}

struct WriterCrashed {};

// What the writers and the reader of one run observed.
struct History {
  // The weight before and after each accepted generation.
  std::map<int64_t, std::pair<int32_t, int32_t>> accepted;
  int64_t unknown = 0;
  bool duplicated = false;
  bool unreadable = false;
  bool reverted = false;
};

void ChangeOnce(const MemoryObjects& api, int32_t weight, History& history) {
  int32_t before = 0;
  const auto set_weight = [&](const Configuration& current) {
    before = WeightOf(current);
    return SetWeight(weight)(current);
  };
  try {
    const ConfigurationChange change =
        ChangeStored(api, "writer", set_weight, kSmallStore);
    if (change.changed) {
      history.duplicated |= !history.accepted
                                 .emplace(change.configuration.generation,
                                          std::pair(before, weight))
                                 .second;
    }
  } catch (const ConflictError&) {
  } catch (const base::UnknownOutcomeError&) {
    ++history.unknown;
  } catch (const WriterCrashed&) {
    ++history.unknown;
  } catch (const base::Error&) {
    history.unreadable = true;
  }
}

void ReadOften(const MemoryObjects& api, History& history) {
  constexpr int kReads = 20;
  int64_t newest = 0;
  for (int i = 0; i < kReads; ++i) {
    try {
      const int64_t generation = ReadStored(api).configuration.generation;
      history.reverted |= generation < newest;
      newest = generation;
    } catch (const WriterCrashed&) {
    } catch (const base::Error&) {
      history.unreadable = true;
    }
  }
}

constexpr int kWriters = 4;
constexpr int kChangesPerWriter = 6;

// Returns which task runs at each call: often the same task for many calls, as
// if the other tasks were paused.
std::vector<int> RandomSchedule() {
  constexpr int kIntervals = 60;
  std::vector<int> schedule;
  for (int i = 0; i < kIntervals; ++i) {
    const int task = *rc::gen::resize(100, rc::gen::inRange(0, kWriters + 1));
    const int length =
        *rc::gen::resize(100, rc::gen::element(1, 2, 4, 8, 16, 32));
    schedule.insert(schedule.end(), length, task);
  }
  return schedule;
}

// Runs writers and a reader, one call at a time, with random faults.
History RunRace(MemoryObjects& api) {
  const auto random_ints = [](int count, int limit) {
    return *rc::gen::resize(100, rc::gen::container<std::vector<int>>(
                                     count, rc::gen::inRange(0, limit)));
  };
  constexpr int kFaultRange = 40;
  const std::vector<int> faults = random_ints(100, kFaultRange);
  const std::vector<int> weights = random_ints(kWriters * kChangesPerWriter, 3);
  const std::vector<int> crash_calls = random_ints(2, 300);
  Lockstep lockstep(RandomSchedule());
  size_t puts = 0;
  int calls = 0;
  api.before_call = [&] {
    lockstep.Yield();
    ++calls;
    if (std::find(crash_calls.begin(), crash_calls.end(), calls) !=
        crash_calls.end()) {
      throw WriterCrashed();
    }
  };
  api.next_fault = [&] {
    const int fault = faults[puts++ % faults.size()];
    return fault <= 3 ? static_cast<PutFault>(fault) : PutFault::kNone;
  };
  History history;
  std::vector<std::function<void()>> tasks = {[&] { ReadOften(api, history); }};
  for (int i = 0; i < kWriters; ++i) {
    tasks.emplace_back([&, i] {
      for (int j = 0; j < kChangesPerWriter; ++j) {
        ChangeOnce(api, 1 + weights[i * kChangesPerWriter + j], history);
      }
    });
  }
  lockstep.Run(tasks);
  api.before_call = [] {};
  api.next_fault = [] { return PutFault::kNone; };
  return history;
}

}  // namespace

TEST_CASE("a change of the configuration in the Object API") {
  MemoryObjects api;
  const auto change = [&](int32_t weight) {
    return ChangeStored(api, "writer", SetWeight(weight), kSmallStore);
  };

  SUBCASE("is read back with the next generation") {
    REQUIRE(change(5).configuration.generation == 1);
    CHECK(ReadStored(api).configuration == change(5).configuration);
    CHECK(ReadStored(api).stored.pointer.current.chunk_versions.size() > 1);

    SUBCASE("applying the same content again writes nothing") {
      const int64_t revision = api.List(kPointerKind).revision;
      CHECK_FALSE(change(5).changed);
      CHECK(change(5).configuration.generation == 1);
      CHECK(api.List(kPointerKind).revision == revision);
    }

    SUBCASE(
        "based on an outdated read is refused with the generation in force") {
      const auto conflicting = [&](const Configuration& current) {
        change(6);
        return SetWeight(7)(current);
      };
      try {
        ChangeStored(api, "late", conflicting, kSmallStore);
        FAIL("the concurrent change was overwritten");
      } catch (const ConflictError& error) {
        CHECK(error.generation() == 2);
      }
      CHECK(WeightOf(ReadStored(api).configuration) == 6);
    }

    SUBCASE("a watch returns it to readers with an older generation only") {
      WatchState state;
      const base::Milliseconds wait(0);
      CHECK(WatchStored(api, state, 0, wait)->generation == 1);
      CHECK(WatchStored(api, state, 0, wait)->generation == 1);
      CHECK_FALSE(WatchStored(api, state, 1, wait).has_value());
      change(6);
      CHECK(WatchStored(api, state, 1, wait)->generation == 2);
    }
  }

  SUBCASE("that has faults is cancelled") {
    CHECK_THROWS_WITH_AS(change(0), doctest::Contains("/weight"), base::Error);
    CHECK(ReadPointer(api).version == 0);
  }

  SUBCASE("does not split a character at the end of a chunk") {
    const std::vector<std::string> chunks = SplitUtf8("abcü", 4);
    CHECK(chunks == std::vector<std::string>{"abc", "ü"});
  }

  SUBCASE("keeps only the chunks of the last generations") {
    for (int32_t weight = 1; weight <= 5; ++weight) {
      change(weight);
    }
    CHECK(ChunkDigests(api).size() == kSmallStore.kept_generations);

    SUBCASE(
        "and those of a crashed writer until unreferenced ones are deleted") {
      int puts = 0;
      api.next_fault = [&puts] {
        if (++puts == 2) {
          throw WriterCrashed();
        }
        return PutFault::kNone;
      };
      CHECK_THROWS_AS(change(6), WriterCrashed);
      CHECK(ChunkDigests(api).size() == kSmallStore.kept_generations + 1);
      REQUIRE(change(7).configuration.generation == 6);
      CHECK(ChunkDigests(api).size() == kSmallStore.kept_generations);
    }
  }
}

TEST_CASE("racing writers with lost answers and crashes") {
  CHECK(rc::check("never lose an accepted change", [] {
    MemoryObjects api;
    const History history = RunRace(api);
    RC_ASSERT(!history.duplicated);
    RC_ASSERT(!history.unreadable);
    RC_ASSERT(!history.reverted);
    const Configuration last = ReadStored(api).configuration;
    const auto count = static_cast<int64_t>(history.accepted.size());
    RC_ASSERT(last.generation >= count);
    RC_ASSERT(last.generation <= count + history.unknown);
    for (const auto& [generation, weights] : history.accepted) {
      const auto previous = history.accepted.find(generation - 1);
      RC_ASSERT(generation <= last.generation);
      if (previous != history.accepted.end()) {
        RC_ASSERT(previous->second.second == weights.first);
      }
      if (generation == last.generation) {
        RC_ASSERT(WeightOf(last) == weights.second);
      }
    }
  }));
}

}  // namespace carawayvalve::entry::detail
