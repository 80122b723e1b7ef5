#ifndef CARAWAYVALVE_CORE_EXPECTATION_CORRECTION_H_
#define CARAWAYVALVE_CORE_EXPECTATION_CORRECTION_H_

#include <cstddef>
#include <deque>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Corrects the expected times of a service by how long requests really took.
// Admission decides by expected times; while they are too long, requests wait
// or are refused that could be served in time, and while they are too short,
// all are sent and become late together.
class ExpectationCorrection {
 public:
  // Records that a request took `actual` although `expected` was expected,
  // before correction.
  void Note(base::Duration expected, base::Duration actual, base::Instant now);

  // Returns how many times longer than expected requests take: the median of
  // the recent ones. Few observations count as evidence only in part: until
  // then an expected time is taken to be up to twice the actual one, as holding
  // a request back wrongly costs its caller more than trying it.
  double Factor(base::Instant now) const;
  base::Duration Correct(base::Duration expected, base::Instant now) const;

 private:
  struct Observation {
    base::Instant at;
    double ratio = 1;
  };

  // In order of time.
  std::deque<Observation> recent;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_EXPECTATION_CORRECTION_H_
