#include "carawayvalve/core/candidate_choice.h"

#include <doctest/doctest.h>

#include <set>

namespace carawayvalve::core {

using base::Milliseconds;

namespace {

constexpr int kDraws = 100;

std::set<size_t> ChosenOf(const std::vector<CandidateCost>& costs,
                          base::Duration age) {
  std::set<size_t> chosen;
  for (int i = 0; i < kDraws; ++i) {
    chosen.insert(
        ChooseCandidate(costs, age, (i + 0.5) / static_cast<double>(kDraws)));
  }
  return chosen;
}

}  // namespace

TEST_CASE("ChooseCandidate") {
  std::vector<CandidateCost> costs = {
      {Milliseconds(100), Milliseconds(40), {}, Milliseconds(60)},
      {Milliseconds(90), Milliseconds(30), {}, Milliseconds(60)},
      {Milliseconds(500), Milliseconds(440), {}, Milliseconds(60)}};

  SUBCASE("takes the lowest cost while figures are exact") {
    CHECK(ChosenOf(costs, {}) == std::set<size_t>{1});

    SUBCASE("and any of several") {
      costs[0] = costs[1];
      CHECK(ChosenOf(costs, {}) == std::set<size_t>{0, 1});
    }
  }
  SUBCASE("takes more of them as figures age") {
    CHECK(ChosenOf(costs, Milliseconds(20)) == std::set<size_t>{0, 1});
    CHECK(ChosenOf(costs, Milliseconds(1000)) == std::set<size_t>{0, 1, 2});
  }
  SUBCASE("leaves out one that lacks the shared part of a prompt") {
    costs[0] = {Milliseconds(100), Milliseconds(0), {}, Milliseconds(100)};
    CHECK(ChosenOf(costs, Milliseconds(50)) == std::set<size_t>{1});

    SUBCASE("unless that one is sooner all the same") {
      costs[1] = {Milliseconds(400), Milliseconds(340), {}, Milliseconds(60)};
      CHECK(ChosenOf(costs, {}) == std::set<size_t>{0});
      CHECK(ChosenOf(costs, Milliseconds(50)).contains(0));
    }
  }
  SUBCASE("takes a single one") {
    costs.resize(1);
    CHECK(ChosenOf(costs, Milliseconds(50)) == std::set<size_t>{0});
  }
}

}  // namespace carawayvalve::core
