#ifndef CARAWAYVALVE_CORE_CANDIDATE_CHOICE_H_
#define CARAWAYVALVE_CORE_CANDIDATE_CHOICE_H_

#include <cstddef>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// What the choice among backend servers knows of one of them.
struct CandidateCost {
  // Expected time until the answer, with all penalties.
  base::Duration cost{};
  // The part of the cost that is work ahead of the request.
  base::Duration work_ahead{};
  // The time in which the work ahead is done and replaced by as much; zero if
  // it is the work ahead itself, as where one request is served after another.
  base::Duration turnover{};
  // The cost of the request at an idle server of the usual speed, with what has
  // to be copied or prefilled there.
  base::Duration usual_cost{};

  bool operator==(const CandidateCost&) const = default;
};

// Returns the index of the candidate that the request goes to; `costs` isn't
// empty. `age` is how old the figures of other processes' load are, and `draw`,
// from 0 to 1, says which of the candidates that are equally good in view of
// that age is taken: processes that choose at one moment have different draws.
//
// While the figures age, all processes together send what keeps the busy
// candidates busy. The choice is made as if that work were poured onto the
// candidates with the lowest cost until it is used up: each is chosen in
// proportion to the requests that it gets. With exact figures this is the
// candidate with the lowest cost. Candidates whose usual cost is higher than
// the best one's, for instance as they lack the prompt's shared part, are
// chosen only if their cost is the lowest.
size_t ChooseCandidate(const std::vector<CandidateCost>& costs,
                       base::Duration age,
                       double draw);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CANDIDATE_CHOICE_H_
