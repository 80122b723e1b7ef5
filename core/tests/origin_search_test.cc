// Decides the load of callers that all take their streams up at once, after
// gateways were killed.
#include "carawayvalve/core/origin_search.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;

namespace {

const OriginSearch::Settings kSettings;
const Instant kStart = Instant() + std::chrono::seconds(100);

std::string DrawVersion() {
  return "v" + std::to_string(*rc::gen::inRange(1, 4));
}

// Adds to what is known, as answers arrive.
void Learn(OriginEvidence& evidence, bool is_named) {
  if (is_named && !evidence.by_first.has_value() &&
      *rc::gen::inRange(0, 4) == 0) {
    evidence.by_first = DrawVersion();
  }
  if (*rc::gen::inRange(0, 3) == 0) {
    evidence.by_content.insert(DrawVersion());
  }
  if (!evidence.only_version.has_value() && *rc::gen::inRange(0, 8) == 0) {
    evidence.only_version = DrawVersion();
  }
  if (*rc::gen::inRange(0, 8) == 0) {
    evidence.registry_known_to =
        kStart + Milliseconds(*rc::gen::inRange(-20, 20));
  }
}

bool Shows(const OriginEvidence& evidence,
           bool is_named,
           const std::string& version) {
  if (evidence.by_first.has_value()) {
    return evidence.by_first == version;
  }
  const bool fits_content = is_named || evidence.by_content.empty() ||
                            evidence.by_content == std::set{version};
  const bool is_only =
      evidence.only_version.has_value() && evidence.registry_known_to >= kStart;
  return fits_content && (is_only ? evidence.only_version == version
                                  : !is_named && !evidence.by_content.empty());
}

}  // namespace

TEST_CASE("the origin of a stream is searched") {
  OriginSearch search(kSettings, true, true, true, kStart);
  CHECK(search.Step({}, kStart) ==
        std::vector<OriginRequest>{ReadStoredOrigins{}, AskOriginKeepers{}});

  SUBCASE("at its keepers") {
    search.Step({"v1", {}, {}}, kStart + Milliseconds(3));
    CHECK(search.verdict() == OriginVerdict(ContinueAtVersion{"v1"}));
  }
  SUBCASE("at all peers, then refused") {
    CHECK(search.Step({}, kStart + Milliseconds(39)).empty());
    CHECK(search.Step({}, kStart + Milliseconds(40)) ==
          std::vector<OriginRequest>{AskAllPeers{}});
    search.NoteStoredRead(true);
    CHECK(search.Step({}, kStart + Milliseconds(119)).empty());
    CHECK_FALSE(search.verdict().has_value());
    search.Step({}, kStart + Milliseconds(120));
    REQUIRE(search.verdict().has_value());
    CHECK(std::holds_alternative<OriginUnknown>(*search.verdict()));
  }
  SUBCASE("in what is stored, which takes longer") {
    search.Step({}, kStart + Milliseconds(40));
    search.Step({}, kStart + Milliseconds(120));
    CHECK_FALSE(search.verdict().has_value());
    search.NoteStoredRead(true);
    search.Step({"v1", {}, {}}, kStart + Milliseconds(150));
    CHECK(search.verdict() == OriginVerdict(ContinueAtVersion{"v1"}));
  }
}

TEST_CASE("a stream of the only version that this process knows") {
  OriginSearch search(kSettings, true, false, false, kStart);
  OriginEvidence evidence;
  evidence.only_version = "v1";
  evidence.registry_known_to = kStart - Milliseconds(1);
  // Another version may have joined since.
  CHECK(search.Step(evidence, kStart) ==
        std::vector<OriginRequest>{ConfirmRegistry{}});
  CHECK_FALSE(search.verdict().has_value());

  SUBCASE("goes on once the store has shown that there is no other") {
    evidence.registry_known_to = kStart;
    CHECK(search.Step(evidence, kStart + Milliseconds(5)).empty());
    CHECK(search.verdict() ==
          OriginVerdict(ContinueAtVersion{"v1", OriginProof::kOnlyVersion}));
  }
  SUBCASE("is refused if nothing shows it in time") {
    CHECK(search.Step(evidence, kStart + Milliseconds(299)).empty());
    CHECK_FALSE(search.verdict().has_value());
    search.Step(evidence, search.wake_at());
    REQUIRE(search.verdict().has_value());
    CHECK(std::holds_alternative<OriginUnknown>(*search.verdict()));
  }
}

TEST_CASE("a stream that nobody can know is refused at once") {
  OriginSearch search(kSettings, true, false, false, kStart);
  CHECK(search.Step({}, kStart).empty());
  CHECK(search.verdict().has_value());
}

TEST_CASE("a stream whose caller doesn't name it") {
  OriginSearch search(kSettings, false, true, false, kStart);
  // Another peer may know of a second stream with the same content.
  CHECK(search.Step({{}, {"v1"}, {}}, kStart) ==
        std::vector<OriginRequest>{AskAllPeers{}});
  CHECK_FALSE(search.verdict().has_value());

  SUBCASE("goes on when all had time to answer") {
    OriginEvidence evidence{{}, {"v1"}, {}};
    bool goes_on = true;
    SUBCASE("and have") {
      evidence.peers = 3;
    }
    SUBCASE("and one of several is silent, whose streams others keep") {
      evidence.peers = 2;
      evidence.silent_peers = 1;
    }
    SUBCASE("unless the only one is silent") {
      evidence.peers = 1;
      evidence.silent_peers = 1;
      goes_on = false;
    }
    SUBCASE("unless several are silent") {
      evidence.peers = 3;
      evidence.silent_peers = 2;
      goes_on = false;
    }
    search.Step(evidence, kStart + Milliseconds(80));
    REQUIRE(search.verdict().has_value());
    CHECK((search.verdict() == OriginVerdict(ContinueAtVersion{
                                   "v1", OriginProof::kContent})) == goes_on);
    CHECK(std::holds_alternative<OriginUnknown>(*search.verdict()) != goes_on);
  }
  SUBCASE("is refused if two versions began its content") {
    search.Step({{}, {"v1", "v2"}, {}}, kStart + Milliseconds(5));
    REQUIRE(search.verdict().has_value());
    CHECK(std::holds_alternative<OriginUnknown>(*search.verdict()));
  }
}

TEST_CASE("a search") {
  CHECK(rc::check("ends in time, at a version that its evidence shows", [] {
    const bool is_named = *rc::gen::arbitrary<bool>();
    const bool has_peers = *rc::gen::arbitrary<bool>();
    const bool may_be_stored = *rc::gen::arbitrary<bool>();
    OriginSearch search(kSettings, is_named, has_peers, may_be_stored, kStart);
    bool lacks_stored = may_be_stored;
    OriginEvidence evidence;
    Instant now = kStart;
    while (!search.verdict().has_value()) {
      RC_ASSERT(now <= kStart + kSettings.stored_time);
      Learn(evidence, is_named);
      search.Step(evidence, now);
      if (!search.verdict().has_value() && *rc::gen::inRange(0, 6) == 0) {
        const bool is_complete = *rc::gen::arbitrary<bool>();
        search.NoteStoredRead(is_complete);
        lacks_stored = !is_complete;
      }
      RC_ASSERT(search.verdict().has_value() || search.wake_at() > now);
      now = *rc::gen::arbitrary<bool>()
                ? search.wake_at()
                : std::min(search.wake_at(), now + Milliseconds(7));
    }
    if (const auto* end = std::get_if<ContinueAtVersion>(&*search.verdict())) {
      RC_ASSERT(Shows(evidence, is_named, end->version));
      RC_ASSERT(end->proof != OriginProof::kContent || !lacks_stored);
    }
  }));
}

}  // namespace carawayvalve::core
