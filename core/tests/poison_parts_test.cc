#include "carawayvalve/core/poison_parts.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using std::chrono::seconds;

namespace {

const Instant kStart = Instant() + seconds(100);

using Parts = std::vector<std::string>;
using Served = std::map<std::string, Instant>;

// Evidence of crashes a second apart.
struct Crashes {
  // Adds a crash, and the requests that were about to be answered.
  void Add(const std::vector<Parts>& requests) {
    this->at += seconds(1);
    ++this->count;
    for (const Parts& parts : requests) {
      this->evidence.push_back({std::to_string(this->count), this->at, parts});
    }
  }

  std::vector<std::string> Blamed(const Served& served = {}) const {
    std::vector<std::string> names;
    for (const auto& [name, part] : FindPoisonParts(this->evidence, served)) {
      names.push_back(name);
    }
    return names;
  }

  std::vector<CrashEvidence> evidence;
  Instant at = kStart;
  int count = 0;
};

}  // namespace

TEST_CASE("a part is blamed for crashes") {
  Crashes crashes;
  crashes.Add({{"poison"}, {"other"}});
  crashes.Add({{"poison"}});

  SUBCASE("not for two, which may be chance") {
    CHECK(crashes.Blamed().empty());
  }
  SUBCASE("for three") {
    crashes.Add({{"another"}, {"poison"}});
    CHECK(crashes.Blamed() == Parts{"poison"});
    const auto found = FindPoisonParts(crashes.evidence, {});
    CHECK(found.at("poison") == PoisonPart{3, crashes.at});

    SUBCASE("unless it was served since the first of them") {
      CHECK(crashes.Blamed({{"poison", kStart + Milliseconds(1500)}}).empty());
    }
    SUBCASE("also if it was served before") {
      CHECK(crashes.Blamed({{"poison", kStart}}) == Parts{"poison"});
    }
  }
  SUBCASE("crashes at the same time count once") {
    crashes.evidence.push_back(
        {"beside it", crashes.at + Milliseconds(50), {"poison"}});
    CHECK(crashes.Blamed().empty());
  }
}

TEST_CASE("the parts that accompany a poison part aren't blamed") {
  Crashes crashes;
  for (int i = 0; i < 4; ++i) {
    crashes.Add({{"rules", "poison"}, {"popular"}});
  }

  SUBCASE("a part further to the front, which more requests share") {
    CHECK(crashes.Blamed({{"popular", crashes.at}}) == Parts{"poison"});
  }
  SUBCASE("a part further back that was served before") {
    Crashes others;
    for (int i = 0; i < 4; ++i) {
      others.Add({{"poison", "document"}});
    }
    CHECK(others.Blamed({{"document", kStart}}) == Parts{"poison"});
  }
  SUBCASE("unless they crash backend servers without it") {
    for (int i = 0; i < 3; ++i) {
      crashes.Add({{"rules"}});
    }
    CHECK(crashes.Blamed({{"popular", crashes.at}}) == Parts{"rules"});
  }
}

TEST_CASE("two poison parts are found") {
  Crashes crashes;
  for (int i = 0; i < 3; ++i) {
    crashes.Add({{"rules", "poison"}});
    crashes.Add({{"rules", "venom"}});
  }
  CHECK(crashes.Blamed({{"rules", crashes.at}}) == Parts{"poison", "venom"});
}

TEST_CASE("the part in all crashes is found among any bystanders") {
  CHECK(rc::check("and no other part is blamed", [] {
    Crashes crashes;
    Served served;
    const auto crash_count = *rc::gen::inRange(3, 9);
    for (int crash = 0; crash < crash_count; ++crash) {
      std::vector<Parts> requests;
      const auto bystanders = *rc::gen::inRange(0, 7);
      requests.reserve(static_cast<size_t>(bystanders) + 1);
      for (int i = 0; i < bystanders; ++i) {
        requests.push_back({"shared" + std::to_string(*rc::gen::inRange(0, 4)),
                            "own" + std::to_string(*rc::gen::inRange(0, 40))});
      }
      requests.insert(
          requests.begin() + *rc::gen::inRange<int64_t>(0, bystanders + 1),
          {"shared" + std::to_string(*rc::gen::inRange(0, 4)), "poison"});
      crashes.Add(requests);
      // Bystanders are served now and then, the poison part never.
      if (*rc::gen::inRange(0, 2) == 0) {
        served["shared" + std::to_string(*rc::gen::inRange(0, 4))] =
            crashes.at + Milliseconds(500);
      }
    }
    // Every bystander was served once, before the crashes.
    for (const CrashEvidence& request : crashes.evidence) {
      for (const std::string& part : request.parts) {
        if (part != "poison") {
          served.emplace(part, kStart);
        }
      }
    }
    RC_ASSERT(crashes.Blamed(served) == Parts{"poison"});
  }));
}

}  // namespace carawayvalve::core
