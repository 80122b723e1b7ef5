#ifndef CARAWAYVALVE_CORE_DECAYING_SUM_H_
#define CARAWAYVALVE_CORE_DECAYING_SUM_H_

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Sum of recent amounts, each of which decays exponentially with time. At a
// steady rate the sum is what comes within the time constant.
class DecayingSum {
 public:
  static constexpr base::Milliseconds kTimeConstant{1000};

  void Add(double amount, base::Instant now);
  double At(base::Instant now) const;

 private:
  double sum = 0;
  base::Instant updated;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_DECAYING_SUM_H_
