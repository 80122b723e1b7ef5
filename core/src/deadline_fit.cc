#include "carawayvalve/core/deadline_fit.h"

namespace carawayvalve::core {

namespace {

// Divides an estimate to get its margin.
constexpr int64_t kEstimateMarginDivisor = 2;

}  // namespace

bool FitsDeadline(base::Duration expected, base::Duration time_left) {
  return expected + expected / kEstimateMarginDivisor + kMinTimeLeft <=
         time_left;
}

}  // namespace carawayvalve::core
