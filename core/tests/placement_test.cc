#include "carawayvalve/core/placement.h"

#include <doctest/doctest.h>

#include <limits>
#include <map>
#include <memory>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using config::EngineRole;
using std::chrono::seconds;

namespace {

// A placer and its inputs: one data centre with engines and plain backend
// servers.
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
    return std::get<Placement>(
        placer.Choose(this->MakeQuery(prompt), this->now));
  }

  Instant now = Instant() + seconds(100);
  BackendDirectory directory{{.grace_period = seconds(2)}};
  BackendHealth health{{}};
  BackendRateLimits rate_limits;
  SilenceDetector silence;
  FleetLoad load;
  PrefixCacheTracker prefix_cache{400000};
  ReportedLoad reported_load;
  Placer placer{{.data_centre = {"here"}},
                directory,
                health,
                rate_limits,
                silence,
                load,
                prefix_cache,
                reported_load};
  Placer even_placer{{.data_centre = {"here"}, .even_load = true},
                     directory,
                     health,
                     rate_limits,
                     silence,
                     load,
                     prefix_cache,
                     reported_load};
};

Prompt MakeLongPrompt(const std::string& shared, int64_t own = 3700) {
  return {{"m"}, {{shared, 13300}, {"own", own}}, 13300 + own, 120};
}

}  // namespace

TEST_CASE("Placer: a long prompt") {
  Fleet fleet(3, 1, 0);
  const Prompt prompt = MakeLongPrompt("s");

  SUBCASE("is prefilled by a prefill engine") {
    const Placement placement = fleet.Choose(&prompt);
    CHECK(placement.prefill_only);
    CHECK(placement.missing_tokens == 17000);

    SUBCASE("the same one in all processes, before they exchange any load") {
      CHECK(fleet.Choose(&prompt).target == placement.target);
      Fleet other(3, 1, 0);
      CHECK(other.Choose(&prompt).target.id == placement.target.id);
    }
    SUBCASE("by the one that has its prefix cached") {
      fleet.prefix_cache.NoteSent({"reader2"}, PrefixKeysOf(prompt));
      CHECK(fleet.Choose(&prompt).target.id.value == "reader2");
      CHECK(fleet.Choose(&prompt).missing_tokens == 3700);

      SUBCASE("unless that one has a much longer backlog") {
        fleet.load.NoteSent({"reader2"}, {8, 60000, 60000});
        CHECK(fleet.Choose(&prompt).target.id.value != "reader2");
      }
      SUBCASE("even if that one has a somewhat longer backlog") {
        fleet.load.NoteSent({"reader2"}, {2, 8000, 8000});
        CHECK(fleet.Choose(&prompt).target.id.value == "reader2");
      }
      SUBCASE("unless that one is draining") {
        BackendEntry entry = *fleet.directory.Find({"reader2"});
        entry.draining = true;
        fleet.directory.NoteEntry(entry);
        CHECK(fleet.Choose(&prompt).target.id.value != "reader2");
      }
      SUBCASE("unless that one has stopped responding") {
        fleet.silence.NoteSent({"reader2"}, Milliseconds(300),
                               fleet.now - Milliseconds(301));
        CHECK(fleet.Choose(&prompt).target.id.value != "reader2");
      }
      SUBCASE("unless that one is unreachable") {
        fleet.health.NoteUnreachable({"reader2"}, fleet.now);
        CHECK(fleet.Choose(&prompt).target.id.value != "reader2");
      }
    }
  }
  SUBCASE("is prefilled and decoded by one engine without prefill engines") {
    Fleet small(0, 2, 0);
    CHECK_FALSE(small.Choose(&prompt).prefill_only);
  }
  SUBCASE("goes to a decode engine in the prefill engine's data centre") {
    fleet.Add("far", "models", EngineRole::kDecode, "there");
    const BackendEntry* prefill_engine = fleet.directory.Find({"reader0"});
    const auto chosen = fleet.placer.ChooseDecodeEngine(
        fleet.MakeQuery(&prompt), *prefill_engine, fleet.now);
    CHECK(std::get<Placement>(chosen).target.id.value == "generator0");

    SUBCASE("unless that one started to drain during the prefill") {
      BackendEntry entry = *fleet.directory.Find({"generator0"});
      entry.draining = true;
      fleet.directory.NoteEntry(entry);
      const auto again = fleet.placer.ChooseDecodeEngine(
          fleet.MakeQuery(&prompt), *prefill_engine, fleet.now);
      CHECK(std::get<Placement>(again).target.id.value == "far");
    }
  }
  SUBCASE("finds no backend if there is no decode engine") {
    Fleet prefill_engines(2, 0, 0);
    CHECK(std::holds_alternative<NoBackend>(prefill_engines.placer.Choose(
        prefill_engines.MakeQuery(&prompt), prefill_engines.now)));
  }
}

TEST_CASE("Placer: a prompt whose prefix an engine has prefilled") {
  Fleet fleet(3, 1, 0);
  const Prompt prompt = MakeLongPrompt("s");
  fleet.prefix_cache.NoteSent({"reader2"}, PrefixKeysOf(prompt));

  SUBCASE("is prefilled by that engine while it has spare capacity") {
    fleet.prefix_cache.NotePrefilled({"reader2"}, PrefixKeysOf(prompt));
    CHECK(fleet.Choose(&prompt).target.id.value == "reader2");
    CHECK_FALSE(fleet.Choose(&prompt).copy_from.has_value());
  }
  SUBCASE("is prefilled by another engine, which copies the prefix") {
    fleet.prefix_cache.NotePrefilled({"reader2"}, PrefixKeysOf(prompt));
    fleet.load.NoteSent({"reader2"}, {2, 8000, 34000});
    const Placement placement = fleet.Choose(&prompt);
    CHECK(placement.target.id.value != "reader2");
    REQUIRE(placement.copy_from.has_value());
    CHECK(placement.copy_from->id.value == "reader2");
    CHECK(placement.missing_tokens == 3700);
    CHECK(placement.expected < Milliseconds(150));

    SUBCASE("unless the source has stopped responding") {
      fleet.silence.NoteSent({"reader2"}, Milliseconds(300),
                             fleet.now - Milliseconds(301));
      CHECK_FALSE(fleet.Choose(&prompt).copy_from.has_value());
    }
    SUBCASE("unless the source has restarted") {
      fleet.prefix_cache.Forget({"reader2"});
      CHECK_FALSE(fleet.Choose(&prompt).copy_from.has_value());
    }
  }
  SUBCASE("isn't copied before it was prefilled") {
    fleet.load.NoteSent({"reader2"}, {8, 60000, 60000});
    const Placement placement = fleet.Choose(&prompt);
    CHECK(placement.target.id.value != "reader2");
    CHECK_FALSE(placement.copy_from.has_value());
    CHECK(placement.missing_tokens == 17000);
  }
}

TEST_CASE("Placer: counts of prompt tokens that nobody can mean") {
  Fleet fleet(2, 2, 0);
  constexpr int64_t kMost = std::numeric_limits<int64_t>::max();
  const std::vector<std::vector<PromptPart>> odd_parts = {
      {{"s", -1000}, {"own", 10}},
      {{"s", std::numeric_limits<int64_t>::min()}, {"own", 10}},
      {{"s", kMost}, {"own", kMost}},
      {{"s", kMost}, {"t", kMost}, {"own", 1}},
      {{"s", 800}, {"t", -5000}, {"own", 1}},
      {{"", 0}, {"", 0}}};
  for (const std::vector<PromptPart>& parts : odd_parts) {
    for (const int64_t tokens : {int64_t{-1}, int64_t{0}, kMost}) {
      const Prompt prompt{{"m"}, parts, tokens, tokens};
      // All engines know the parts: one request with them came before.
      for (const char* id : {"reader0", "reader1", "generator0"}) {
        fleet.prefix_cache.NoteSent({id}, PrefixKeysOf(prompt));
      }
      const Placement placement = fleet.Choose(&prompt);
      CHECK(placement.missing_tokens >= 0);
      CHECK(placement.prefill_work >= 0);
      CHECK(placement.expected >= Milliseconds(0));
    }
  }
}

TEST_CASE("Placer: an engine that is slower than the settings assume") {
  Fleet fleet(1, 1, 0);
  const Prompt prompt = MakeLongPrompt("s");
  for (int i = 0; i < 20; ++i) {
    const Placement placement = fleet.Choose(&prompt);
    fleet.health.NoteAnswer(placement.target.id, 3 * placement.at_full_speed,
                            placement.at_full_speed, fleet.now);
  }

  SUBCASE("its slowness isn't applied twice to later estimates") {
    const Placement placement = fleet.Choose(&prompt);
    CHECK(placement.expected > 2.8 * placement.at_full_speed);
    CHECK(placement.expected < 3.2 * placement.at_full_speed);
  }
}

TEST_CASE("Placer: twice as many prompt tokens take more than twice as long") {
  Fleet fleet(1, 1, 0);
  const Prompt short_prompt = MakeLongPrompt("s", 6700);
  const Prompt long_prompt = MakeLongPrompt("t", 26700);
  const Placement once = fleet.Choose(&short_prompt);
  const Placement twice = fleet.Choose(&long_prompt);
  CHECK(twice.missing_tokens == 2 * once.missing_tokens);
  CHECK(twice.prefill_work > 2.2 * once.prefill_work);
  CHECK(twice.expected > 2 * once.expected);
}

// Load at a start or in a burst: many requests for the same shared prefix at
// once. Each engine that prefilled the prefix again would delay the rest.
TEST_CASE("Placer: a shared prefix in a burst is prefilled once and copied") {
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
  // All prefill engines for long prompts share the work.
  CHECK(read.size() == 5);
  for (const auto& [id, tokens] : read) {
    CHECK(tokens <= 6 * 3700);
  }
}

TEST_CASE(
    "Placer: a decode engine prefills a short prompt with a cached prefix") {
  Fleet fleet(3, 1, 0);
  const Prompt prompt = MakeLongPrompt("s", 200);
  fleet.prefix_cache.NoteSent({"generator0"}, PrefixKeysOf(prompt));
  const Placement placement = fleet.Choose(&prompt);
  CHECK_FALSE(placement.prefill_only);
  CHECK(placement.target.id.value == "generator0");
}

// Steady load: many prompts that share a few prefixes.
TEST_CASE("Placer: a stream of prompts that share a few prefixes") {
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
    // Engines prefill 48 tokens per millisecond; a request arrives every 30 ms.
    fleet.now += Milliseconds(30);
    if (i >= 24) {
      fleet.load.NoteEnded(ticket);
    }
  }

  SUBCASE("prefills each shared prefix hardly more than once") {
    // 240 x 3,700 unshared tokens, and 24 shared prefixes.
    CHECK(missing < 240 * 3700 + 2 * 24 * 13300);
  }
  SUBCASE("uses all prefill engines but the one reserved for short prompts") {
    CHECK(read.size() == 5);
    const Prompt note = {{"m"}, {{"n", 200}, {"own", 1100}}, 1300, 170};
    const Placement placement = fleet.Choose(&note);
    CHECK(read.count(placement.target.id) == 0);
  }
}

TEST_CASE("Placer: a request of a plain service") {
  Fleet fleet(0, 0, 3);

  SUBCASE("goes to the least loaded backend server") {
    fleet.load.NoteSent({"desk0"}, {4, 0, 0});
    fleet.load.NotePeer({"p"}, {{{"desk1"}, {5, 0, 0}}}, fleet.now);
    CHECK(fleet.Choose(nullptr).target.id.value == "desk2");
  }
  SUBCASE("avoids a failing backend server") {
    fleet.health.NoteFailure({"desk0"}, fleet.now);
    fleet.health.NoteFailure({"desk1"}, fleet.now);
    CHECK(fleet.Choose(nullptr).target.id.value == "desk2");
  }
  SUBCASE("avoids a slow backend server") {
    fleet.health.NoteAnswer({"desk0"}, seconds(1), Milliseconds(50), fleet.now);
    CHECK(fleet.Choose(nullptr).target.id.value != "desk0");
  }
  SUBCASE("goes to an unreachable backend server if there is no other") {
    for (const char* id : {"desk0", "desk1", "desk2"}) {
      fleet.health.NoteUnreachable({id}, fleet.now);
    }
    CHECK(std::holds_alternative<Placement>(
        fleet.placer.Choose(fleet.MakeQuery(nullptr), fleet.now)));
  }
  SUBCASE("isn't sent to an excluded backend server") {
    PlacementQuery query = fleet.MakeQuery(nullptr);
    query.excluded = {{"desk0"}, {"desk1"}};
    CHECK(fleet.placer.HasAlternative(query, fleet.now));
    query.excluded.insert({"desk2"});
    CHECK_FALSE(fleet.placer.HasAlternative(query, fleet.now));
    CHECK(std::holds_alternative<NoBackend>(
        fleet.placer.Choose(query, fleet.now)));
  }
}

// The load pattern of an eligibility desk: prompts of 3,000 tokens after a
// shared part, engines that read twelve times as fast as the first data sheet
// says, and few slots, which long replies hold for seconds.
TEST_CASE("Placer: engines with other speeds and few slots") {
  Fleet fleet(1, 1, 0);
  EngineSpeeds fast;
  fast.prefill_tokens_per_ms = 600;
  fast.first_event = Milliseconds(4);
  fast.slot_time = Milliseconds(120);
  const Prompt prompt = MakeLongPrompt("s", 2900);
  fleet.prefix_cache.NotePrefilled({"reader0"}, PrefixKeysOf(prompt));
  fleet.prefix_cache.NotePrefilled({"generator0"}, PrefixKeysOf(prompt));
  CHECK(fleet.Choose(&prompt).prefill_only);
  fleet.placer.SetSpeeds({"models"}, fast);

  SUBCASE("a decode engine prefills what it can soon") {
    const Placement placement = fleet.Choose(&prompt);
    CHECK_FALSE(placement.prefill_only);
    CHECK(placement.target.id.value == "generator0");
    CHECK(placement.expected < Milliseconds(20));
  }
  SUBCASE("but not beside streams, each of which it would delay") {
    fleet.load.NoteSent({"generator0"}, {4, 0, 40000});
    CHECK(fleet.Choose(&prompt).prefill_only);
  }
  SUBCASE("nor what takes long") {
    const Prompt longer = MakeLongPrompt("s", 12000);
    CHECK(fleet.Choose(&longer).prefill_only);
  }
  SUBCASE("the speeds of another service don't matter") {
    EngineSpeeds slow;
    slow.prefill_tokens_per_ms = 1;
    fleet.placer.SetSpeeds({"others"}, slow);
    CHECK_FALSE(fleet.Choose(&prompt).prefill_only);
  }
  SUBCASE("all slots of the decode engine are taken") {
    fleet.load.NoteSent({"generator0"}, {6, 0, 60000});

    SUBCASE("a prefill engine has the prompt ready when one is free") {
      CHECK(fleet.Choose(&prompt).prefill_only);
    }
    SUBCASE("another decode engine with a free slot is preferred") {
      fleet.Add("generator1", "models", EngineRole::kDecode);
      fleet.load.NoteSent({"generator1"}, {5, 0, 50000});
      const PlacementResult result = fleet.placer.ChooseDecodeEngine(
          fleet.MakeQuery(&prompt), *fleet.directory.Find({"reader0"}),
          fleet.now);
      CHECK(std::get<Placement>(result).target.id.value == "generator1");
    }
    SUBCASE("what waits for a slot is work ahead of a request") {
      PlacementQuery query = fleet.MakeQuery(&prompt);
      query.may_hand_over = false;
      const auto work_ahead = [&] {
        return std::get<Placement>(fleet.placer.Choose(query, fleet.now))
            .work_ahead;
      };
      CHECK(work_ahead() == Milliseconds(20));
      fleet.load.NoteSent({"generator0"}, {6, 0, 60000});
      CHECK(work_ahead() == Milliseconds(140));
    }
  }
}

// Many processes choose at one moment from the same figures.
TEST_CASE("Placer: reports of peers' load are some time old") {
  Fleet fleet(6, 2, 3);
  fleet.load.NotePeer({"p"}, {{{"desk0"}, {3, 0, 0}}, {{"desk1"}, {2, 0, 0}}},
                      fleet.now);
  const auto chosen_by_100 = [&](const Prompt* prompt) {
    std::map<std::string, int> chosen;
    PlacementQuery query = fleet.MakeQuery(prompt);
    for (int i = 0; i < 100; ++i) {
      query.request = "r" + std::to_string(i);
      const auto result = fleet.even_placer.Choose(query, fleet.now);
      ++chosen[std::get<Placement>(result).target.id.value];
    }
    return chosen;
  };

  SUBCASE("fresh ones: all take the server with the lowest cost") {
    CHECK(chosen_by_100(nullptr) == std::map<std::string, int>{{"desk2", 100}});
  }
  SUBCASE("older ones: the others get a part") {
    fleet.now += Milliseconds(30);
    const auto chosen = chosen_by_100(nullptr);
    CHECK(chosen.size() == 3);
    CHECK(chosen.at("desk2") > chosen.at("desk1"));
    CHECK(chosen.at("desk1") > chosen.at("desk0"));

    SUBCASE("but none of what would be late there") {
      PlacementQuery query = fleet.MakeQuery(nullptr);
      query.objective = Milliseconds(41);
      for (int i = 0; i < 20; ++i) {
        query.request = "r" + std::to_string(i);
        const auto result = fleet.even_placer.Choose(query, fleet.now);
        CHECK(std::get<Placement>(result).target.id.value == "desk2");
      }
    }
  }
  SUBCASE("a shared part is still read at one engine") {
    fleet.now += Milliseconds(100);
    const Prompt prompt = MakeLongPrompt("s");
    CHECK(chosen_by_100(&prompt).size() == 1);
  }
  SUBCASE("a request that is placed again goes to the same server") {
    fleet.now += Milliseconds(100);
    const PlacementQuery query = fleet.MakeQuery(nullptr);
    CHECK(fleet.even_placer.Choose(query, fleet.now) ==
          fleet.even_placer.Choose(query, fleet.now));
  }
}

}  // namespace carawayvalve::core
