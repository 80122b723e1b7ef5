#include "carawayvalve/core/placement.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using config::EngineRole;
using std::chrono::seconds;

namespace {

// What a placer decides by, of one data centre with engines and plain_servers.
struct Fleet {
  explicit Fleet(int prefill_engines, int decode_engines, int plain_servers) {
    for (int i = 0; i < prefill_engines; ++i) {
      this->Add("reader" + std::to_string(i), "models", EngineRole::kPrefill);
    }
    for (int i = 0; i < decode_engines; ++i) {
      this->Add("generator" + std::to_string(i), "models", EngineRole::kDecode);
    }
    for (int i = 0; i < plain_servers; ++i) {
      this->Add("desk" + std::to_string(i), "desk", std::nullopt);
    }
  }

  void Add(const std::string& id,
           const std::string& service,
           std::optional<EngineRole> role,
           const std::string& centre = "here") {
    BackendEntry entry;
    entry.id = {id};
    entry.service = {service};
    entry.data_centre = {centre};
    entry.slots = 6;
    entry.role = role;
    this->directory.NoteEntry(entry);
  }

  PlacementQuery MakeQuery(const Prompt* prompt) const {
    PlacementQuery query;
    query.service = {prompt == nullptr ? "desk" : "models"};
    query.prompt = prompt;
    query.objective = Milliseconds(800);
    return query;
  }

  Placement Choose(const Prompt* prompt) const {
    return std::get<Placement>(placer.Choose(this->MakeQuery(prompt), this->now));
  }

  Instant now = Instant() + seconds(100);
  BackendDirectory directory{seconds(2)};
  BackendHealth health{{}};
  SilenceWatch silence;
  FleetLoad load;
  PrefixCacheTracker prefix_cache{400000};
  Placer placer{
      {.data_centre = {"here"}}, directory, health, silence, load, prefix_cache};
};

Prompt MakeLongPrompt(const std::string& shared, int64_t own = 3700) {
  return {{"m"}, {{shared, 13300}, {"own", own}}, 13300 + own, 120};
}

}  // namespace

TEST_CASE("a long prompt") {
  Fleet fleet(3, 1, 0);
  const Prompt prompt = MakeLongPrompt("s");

  SUBCASE("is read by a reader") {
    const Placement placement = fleet.Choose(&prompt);
    CHECK(placement.prefill_only);
    CHECK(placement.missing_tokens == 17000);

    SUBCASE("the same one for all processes, before they know of one another") {
      CHECK(fleet.Choose(&prompt).target == placement.target);
      Fleet other(3, 1, 0);
      CHECK(other.Choose(&prompt).target.id == placement.target.id);
    }
    SUBCASE("and then by one that has its beginning") {
      fleet.prefix_cache.NoteSent({"reader2"}, PrefixKeysOf(prompt));
      CHECK(fleet.Choose(&prompt).target.id.value == "reader2");
      CHECK(fleet.Choose(&prompt).missing_tokens == 3700);

      SUBCASE("unless that one has much more to read") {
        fleet.load.NoteSent({"reader2"}, {8, 60000, 60000});
        CHECK(fleet.Choose(&prompt).target.id.value != "reader2");
      }
      SUBCASE("also while it has somewhat more to read") {
        fleet.load.NoteSent({"reader2"}, {2, 8000, 8000});
        CHECK(fleet.Choose(&prompt).target.id.value == "reader2");
      }
      SUBCASE("unless that one drains") {
        BackendEntry entry = *fleet.directory.Find({"reader2"});
        entry.draining = true;
        fleet.directory.NoteEntry(entry);
        CHECK(fleet.Choose(&prompt).target.id.value != "reader2");
      }
      SUBCASE("unless that one has fallen silent") {
        fleet.silence.NoteSent({"reader2"}, Milliseconds(300),
                               fleet.now - Milliseconds(301));
        CHECK(fleet.Choose(&prompt).target.id.value != "reader2");
      }
      SUBCASE("unless that one can't be reached") {
        fleet.health.NoteUnreachable({"reader2"}, fleet.now);
        CHECK(fleet.Choose(&prompt).target.id.value != "reader2");
      }
    }
  }
  SUBCASE("is read and answered by one engine where none reads apart") {
    Fleet small(0, 2, 0);
    CHECK_FALSE(small.Choose(&prompt).prefill_only);
  }
  SUBCASE("goes to a generator of the reader's data centre") {
    fleet.Add("far", "models", EngineRole::kDecode, "there");
    const BackendEntry* prefill_engine = fleet.directory.Find({"reader0"});
    const auto chosen =
        fleet.placer.ChooseDecodeEngine(fleet.MakeQuery(&prompt), *prefill_engine, fleet.now);
    CHECK(std::get<Placement>(chosen).target.id.value == "generator0");

    SUBCASE("that hasn't begun to drain while it was read") {
      BackendEntry entry = *fleet.directory.Find({"generator0"});
      entry.draining = true;
      fleet.directory.NoteEntry(entry);
      const auto again = fleet.placer.ChooseDecodeEngine(fleet.MakeQuery(&prompt),
                                                         *prefill_engine, fleet.now);
      CHECK(std::get<Placement>(again).target.id.value == "far");
    }
  }
  SUBCASE("finds no place where no engine generates") {
    Fleet prefill_engines(2, 0, 0);
    CHECK(std::holds_alternative<NoBackend>(
        prefill_engines.placer.Choose(prefill_engines.MakeQuery(&prompt), prefill_engines.now)));
  }
}

TEST_CASE("a prompt whose beginning an engine has read") {
  Fleet fleet(3, 1, 0);
  const Prompt prompt = MakeLongPrompt("s");
  fleet.prefix_cache.NoteSent({"reader2"}, PrefixKeysOf(prompt));

  SUBCASE("is read by that engine while it has time") {
    fleet.prefix_cache.NotePrefilled({"reader2"}, PrefixKeysOf(prompt));
    CHECK(fleet.Choose(&prompt).target.id.value == "reader2");
    CHECK_FALSE(fleet.Choose(&prompt).copy_from.has_value());
  }
  SUBCASE("is read by another one, which copies the beginning") {
    fleet.prefix_cache.NotePrefilled({"reader2"}, PrefixKeysOf(prompt));
    fleet.load.NoteSent({"reader2"}, {2, 8000, 34000});
    const Placement placement = fleet.Choose(&prompt);
    CHECK(placement.target.id.value != "reader2");
    REQUIRE(placement.copy_from.has_value());
    CHECK(placement.copy_from->id.value == "reader2");
    CHECK(placement.missing_tokens == 3700);
    CHECK(placement.expected < Milliseconds(150));

    SUBCASE("unless the one that has it has fallen silent") {
      fleet.silence.NoteSent({"reader2"}, Milliseconds(300),
                             fleet.now - Milliseconds(301));
      CHECK_FALSE(fleet.Choose(&prompt).copy_from.has_value());
    }
    SUBCASE("unless it was started anew") {
      fleet.prefix_cache.Forget({"reader2"});
      CHECK_FALSE(fleet.Choose(&prompt).copy_from.has_value());
    }
  }
  SUBCASE("is not copied before it was read") {
    fleet.load.NoteSent({"reader2"}, {8, 60000, 60000});
    const Placement placement = fleet.Choose(&prompt);
    CHECK(placement.target.id.value != "reader2");
    CHECK_FALSE(placement.copy_from.has_value());
    CHECK(placement.missing_tokens == 17000);
  }
}

TEST_CASE("an engine that is slower than its data sheet says") {
  Fleet fleet(1, 1, 0);
  const Prompt prompt = MakeLongPrompt("s");
  for (int i = 0; i < 20; ++i) {
    const Placement placement = fleet.Choose(&prompt);
    fleet.health.NoteAnswer(placement.target.id, 3 * placement.at_full_speed,
                            placement.at_full_speed, fleet.now);
  }

  SUBCASE("is known to be so, however much of it was expected already") {
    const Placement placement = fleet.Choose(&prompt);
    CHECK(placement.expected > 2.8 * placement.at_full_speed);
    CHECK(placement.expected < 3.2 * placement.at_full_speed);
  }
}

TEST_CASE("a prompt of twice as many tokens takes more than twice as long") {
  Fleet fleet(1, 1, 0);
  const Prompt short_prompt = MakeLongPrompt("s", 6700);
  const Prompt long_prompt = MakeLongPrompt("t", 26700);
  const Placement once = fleet.Choose(&short_prompt);
  const Placement twice = fleet.Choose(&long_prompt);
  CHECK(twice.missing_tokens == 2 * once.missing_tokens);
  CHECK(twice.prefill_work > 2.2 * once.prefill_work);
  CHECK(twice.expected > 2 * once.expected);
}

// The load at a start or a burst: a beginning that everyone asks for at once.
TEST_CASE("a beginning that many ask for is read once and copied") {
  Fleet fleet(6, 2, 0);
  const Prompt first = MakeLongPrompt("s");
  const Placement home = fleet.Choose(&first);
  fleet.prefix_cache.NotePrefilled(home.target.id, PrefixKeysOf(first));
  std::map<base::BackendServerId, int64_t> read;
  for (int i = 0; i < 24; ++i) {
    const Placement placement = fleet.Choose(&first);
    fleet.prefix_cache.NotePrefilled(placement.target.id, PrefixKeysOf(first));
    fleet.load.NoteSent(placement.target.id,
                        {1, placement.missing_tokens, 17000});
    read[placement.target.id] += placement.missing_tokens;
  }
  // All prefill_engines that take long prompts share the work.
  CHECK(read.size() == 5);
  for (const auto& [id, tokens] : read) {
    CHECK(tokens <= 6 * 3700);
  }
}

TEST_CASE("a short prompt whose beginning a generator has is read there") {
  Fleet fleet(3, 1, 0);
  const Prompt prompt = MakeLongPrompt("s", 200);
  fleet.prefix_cache.NoteSent({"generator0"}, PrefixKeysOf(prompt));
  const Placement placement = fleet.Choose(&prompt);
  CHECK_FALSE(placement.prefill_only);
  CHECK(placement.target.id.value == "generator0");
}

// The load of a morning: many prompts that share a few beginnings.
TEST_CASE("a burst of prompts with shared beginnings") {
  Fleet fleet(6, 2, 0);
  std::map<base::BackendServerId, int64_t> read;
  int64_t missing = 0;
  for (int i = 0; i < 240; ++i) {
    const Prompt prompt = MakeLongPrompt("s" + std::to_string(i % 24));
    const Placement placement = fleet.Choose(&prompt);
    fleet.prefix_cache.NoteSent(placement.target.id, PrefixKeysOf(prompt));
    const auto ticket = fleet.load.NoteSent(
        placement.target.id, {1, placement.missing_tokens, 17000});
    read[placement.target.id] += placement.missing_tokens;
    missing += placement.missing_tokens;
    // Engines read at 48 tokens a millisecond, requests come each 30 ms.
    fleet.now += Milliseconds(30);
    if (i >= 24) {
      fleet.load.NoteEnded(ticket);
    }
  }

  SUBCASE("reads the beginnings few times more than once") {
    // 240 x 3,700 tokens of their own, and 24 beginnings.
    CHECK(missing < 240 * 3700 + 2 * 24 * 13300);
  }
  SUBCASE("leaves no engine idle but the one for short prompts") {
    CHECK(read.size() == 5);
    const Prompt note = {{"m"}, {{"n", 200}, {"own", 1100}}, 1300, 170};
    const Placement placement = fleet.Choose(&note);
    CHECK(read.count(placement.target.id) == 0);
  }
}

TEST_CASE("a request of a plain service") {
  Fleet fleet(0, 0, 3);

  SUBCASE("goes to the one with the least to do") {
    fleet.load.NoteSent({"desk0"}, {4, 0, 0});
    fleet.load.NotePeer({"p"}, {{{"desk1"}, {5, 0, 0}}}, fleet.now);
    CHECK(fleet.Choose(nullptr).target.id.value == "desk2");
  }
  SUBCASE("avoids one that fails") {
    fleet.health.NoteFailure({"desk0"}, fleet.now);
    fleet.health.NoteFailure({"desk1"}, fleet.now);
    CHECK(fleet.Choose(nullptr).target.id.value == "desk2");
  }
  SUBCASE("avoids one that is slow") {
    fleet.health.NoteAnswer({"desk0"}, seconds(1), Milliseconds(50), fleet.now);
    CHECK(fleet.Choose(nullptr).target.id.value != "desk0");
  }
  SUBCASE("goes to one that failed rather than nowhere") {
    for (const char* id : {"desk0", "desk1", "desk2"}) {
      fleet.health.NoteUnreachable({id}, fleet.now);
    }
    CHECK(std::holds_alternative<Placement>(
        fleet.placer.Choose(fleet.MakeQuery(nullptr), fleet.now)));
  }
  SUBCASE("isn't sent to one that was tried before") {
    PlacementQuery query = fleet.MakeQuery(nullptr);
    query.excluded = {{"desk0"}, {"desk1"}};
    CHECK(fleet.placer.HasAlternative(query, fleet.now));
    query.excluded.insert({"desk2"});
    CHECK_FALSE(fleet.placer.HasAlternative(query, fleet.now));
    CHECK(std::holds_alternative<NoBackend>(
        fleet.placer.Choose(query, fleet.now)));
  }
}

}  // namespace carawayvalve::core
