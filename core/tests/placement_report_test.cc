#include "carawayvalve/core/placement_report.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "carawayvalve/core/placement.h"

namespace carawayvalve::core {

using base::Instant;
using base::Milliseconds;
using config::EngineRole;
using std::chrono::seconds;

namespace {

constexpr int kRandomStates = 200;
constexpr int kServersOfKind = 4;

// A fleet of engines and plain backend servers in a random state.
struct RandomFleet {
  explicit RandomFleet(uint64_t seed) : generator(seed) {
    for (int i = 0; i < kServersOfKind; ++i) {
      const std::string number = std::to_string(i);
      this->Add("reader" + number, "models", EngineRole::kPrefill);
      this->Add("generator" + number, "models", EngineRole::kDecode);
      this->Add("desk" + number, "desk", std::nullopt);
    }
  }

  int64_t Draw(int64_t most) {
    return std::uniform_int_distribution<int64_t>(0, most)(this->generator);
  }

  void Add(const std::string& id,
           const std::string& service,
           std::optional<EngineRole> role) {
    BackendEntry entry;
    entry.id = {id};
    entry.service = {service};
    entry.data_centre = {this->Draw(1) == 0 ? "here" : "there"};
    entry.slots = 6;
    entry.role = role;
    entry.draining = this->Draw(9) == 0;
    this->directory.NoteEntry(entry);
    const int64_t requests = this->Draw(8);
    for (int64_t i = 0; i < requests; ++i) {
      this->load.NoteSent({id}, {1, role.has_value() ? this->Draw(5000) : 0,
                                 role.has_value() ? 4000 : 0});
    }
    if (this->Draw(5) == 0) {
      this->health.NoteUnreachable({id}, this->now);
    }
    this->health.NoteAnswer({id}, Milliseconds(10 + this->Draw(90)),
                            Milliseconds(20), this->now);
  }

  std::mt19937_64 generator;
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
};

const CostTerms* TermsOf(const std::vector<CandidateReport>& reports,
                         const base::BackendServerId& id) {
  const auto found =
      std::find_if(reports.begin(), reports.end(),
                   [&](const CandidateReport& each) { return each.id == id; });
  return found == reports.end() ? nullptr
                                : std::get_if<CostTerms>(&found->outcome);
}

}  // namespace

TEST_CASE("a report on the placement of a request") {
  SUBCASE("gives the chosen backend server the terms that decided") {
    for (int seed = 0; seed < kRandomStates; ++seed) {
      CAPTURE(seed);
      RandomFleet fleet(seed);
      const Prompt prompt = {
          {"m"}, {{"shared", 13300}, {"own", 3700}}, 17000, 120};
      PlacementQuery query;
      query.service = {seed % 2 == 0 ? "models" : "desk"};
      query.prompt = seed % 2 == 0 ? &prompt : nullptr;
      const auto reports = fleet.placer.Report(query, fleet.now);
      CHECK(reports.size() == (seed % 2 == 0 ? 2 : 1) * kServersOfKind);
      const PlacementResult chosen = fleet.placer.Choose(query, fleet.now);
      if (const auto* placement = std::get_if<Placement>(&chosen)) {
        const CostTerms* terms = TermsOf(reports, placement->target.id);
        REQUIRE(terms != nullptr);
        CHECK(terms->work_ahead == placement->work_ahead);
        CHECK(terms->missing_tokens == placement->missing_tokens);
        CHECK(terms->requests_ahead == placement->requests_ahead);
        CHECK(terms->cost ==
              terms->expected + terms->failure_and_distance + terms->affinity);
      }
    }
  }

  SUBCASE("says why another one isn't a candidate") {
    RandomFleet fleet(1);
    for (const auto& [id, entry] : fleet.directory.entries()) {
      BackendEntry leaving = entry;
      leaving.draining = id.value == "desk0";
      fleet.directory.NoteEntry(leaving);
      fleet.health.Forget(id);
    }
    fleet.health.NoteUnreachable({"desk1"}, fleet.now);
    PlacementQuery query;
    query.service = {"desk"};
    query.excluded = {{"desk2"}};
    const auto reports = fleet.placer.Report(query, fleet.now);
    REQUIRE(reports.size() == kServersOfKind);
    CHECK(reports[0] == CandidateReport{{"desk0"}, {Exclusion::kLeaves}});
    CHECK(reports[1] == CandidateReport{{"desk1"}, {Exclusion::kUnhealthy}});
    CHECK(reports[2] == CandidateReport{{"desk2"}, {Exclusion::kTried}});
    CHECK(TermsOf(reports, {"desk3"}) != nullptr);
  }
}

}  // namespace carawayvalve::core
