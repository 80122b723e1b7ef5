#include "carawayvalve/core/candidate_choice.h"

#include <algorithm>
#include <iterator>
#include <numbers>
#include <utility>

namespace carawayvalve::core {

namespace {

using Seconds = std::chrono::duration<double>;

// Work of a request at a candidate, without the work ahead; shorter ones count
// as this.
constexpr base::Milliseconds kMinOwnWork(1);
// The filled work is what is sent in this many ages. Choices made within the
// last age show in no figure yet, so that a correction by one age is made more
// than once; with e ages corrections are the fastest that don't overshoot.
constexpr double kFilledAges = std::numbers::e;
// Usual costs that are higher by this factor count as equal.
constexpr double kMaxUsualCostRatio = 1.1;
constexpr Seconds kMinRoom(1e-9);

base::Duration OwnWork(const CandidateCost& candidate) {
  return std::max<base::Duration>(candidate.cost - candidate.work_ahead,
                                  kMinOwnWork);
}

// Returns the indices of the candidates that may be chosen instead of `best`.
std::vector<size_t> EqualsOf(const std::vector<CandidateCost>& costs,
                             size_t best) {
  const Seconds max_usual_cost =
      kMaxUsualCostRatio * Seconds(costs[best].usual_cost);
  std::vector<size_t> equals;
  for (size_t i = 0; i < costs.size(); ++i) {
    if (Seconds(costs[i].usual_cost) <= max_usual_cost) {
      equals.push_back(i);
    }
  }
  return equals;
}

// Returns the cost up to which `work` fills the candidates, beginning with
// those of the lowest cost; `among` is reduced to those that get some of it.
Seconds FillLowest(const std::vector<CandidateCost>& costs,
                   std::vector<size_t>& among,
                   Seconds work) {
  while (true) {
    Seconds sum = work;
    for (const size_t i : among) {
      sum += costs[i].cost;
    }
    const Seconds level = sum / static_cast<double>(among.size());
    std::vector<size_t> below;
    std::copy_if(among.begin(), among.end(), std::back_inserter(below),
                 [&](size_t i) { return Seconds(costs[i].cost) < level; });
    if (below.empty() || below.size() == among.size()) {
      return level;
    }
    among = std::move(below);
  }
}

// Returns the work that all processes send to the candidates `among` while
// figures of this age are used.
Seconds SentIn(const std::vector<CandidateCost>& costs,
               const std::vector<size_t>& among,
               base::Duration age) {
  const Seconds time = kFilledAges * Seconds(age);
  Seconds sum{};
  for (const size_t i : among) {
    const CandidateCost& candidate = costs[i];
    const base::Duration turnover = candidate.turnover > base::Duration(0)
                                        ? candidate.turnover
                                        : candidate.work_ahead;
    if (turnover > base::Duration(0)) {
      sum += Seconds(candidate.work_ahead) * (time / Seconds(turnover));
    }
  }
  return sum;
}

}  // namespace

size_t ChooseCandidate(const std::vector<CandidateCost>& costs,
                       base::Duration age,
                       double draw) {
  const auto lowest =
      std::min_element(costs.begin(), costs.end(),
                       [](const CandidateCost& a, const CandidateCost& b) {
                         return a.cost < b.cost;
                       });
  const auto best = static_cast<size_t>(lowest - costs.begin());
  std::vector<size_t> equals = EqualsOf(costs, best);
  const Seconds level = FillLowest(costs, equals, SentIn(costs, equals, age));
  std::vector<double> shares;
  double sum = 0;
  for (const size_t i : equals) {
    // Without any work to fill, those with the lowest cost are equally good.
    const bool is_lowest = costs[i].cost == lowest->cost;
    const Seconds room = std::max(level - Seconds(costs[i].cost),
                                  is_lowest ? kMinRoom : Seconds(0));
    sum += std::max(room / Seconds(OwnWork(costs[i])), 0.0);
    shares.push_back(sum);
  }
  const auto chosen =
      std::upper_bound(shares.begin(), shares.end(), draw * sum);
  return chosen == shares.end()
             ? best
             : equals[static_cast<size_t>(chosen - shares.begin())];
}

}  // namespace carawayvalve::core
