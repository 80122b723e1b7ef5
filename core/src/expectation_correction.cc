#include "carawayvalve/core/expectation_correction.h"

#include <algorithm>
#include <vector>

namespace carawayvalve::core {

namespace {

using Ms = std::chrono::duration<double, std::milli>;

constexpr size_t kMaxObservations = 48;
// Older observations say nothing about the load of now.
constexpr std::chrono::seconds kMaxAge(6);
// What is assumed without observations, with the weight of this many of them.
constexpr double kInitialFactor = 0.5;
constexpr size_t kInitialWeight = 6;
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 4;
// Shorter times are raised to this where they divide.
constexpr base::Milliseconds kMinExpected(1);

}  // namespace

void ExpectationCorrection::Note(base::Duration expected,
                                 base::Duration actual,
                                 base::Instant now) {
  const base::Duration divisor =
      std::max<base::Duration>(expected, kMinExpected);
  this->recent.push_back({now, Ms(actual) / Ms(divisor)});
  while (this->recent.size() > kMaxObservations ||
         now - this->recent.front().at > kMaxAge) {
    this->recent.pop_front();
  }
}

double ExpectationCorrection::Factor(base::Instant now) const {
  std::vector<double> ratios;
  for (const Observation& observation : this->recent) {
    if (now - observation.at <= kMaxAge) {
      ratios.push_back(observation.ratio);
    }
  }
  if (ratios.size() < kInitialWeight) {
    ratios.resize(kInitialWeight, kInitialFactor);
  }
  const auto middle =
      ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  return std::clamp(*middle, kMinFactor, kMaxFactor);
}

base::Duration ExpectationCorrection::Correct(base::Duration expected,
                                              base::Instant now) const {
  return std::chrono::duration_cast<base::Duration>(expected *
                                                    this->Factor(now));
}

}  // namespace carawayvalve::core
