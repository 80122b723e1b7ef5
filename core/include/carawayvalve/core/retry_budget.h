#ifndef CARAWAYVALVE_CORE_RETRY_BUDGET_H_
#define CARAWAYVALVE_CORE_RETRY_BUDGET_H_

#include <cstdint>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Limits retries, so that they don't amplify an overload. Over any span of time
// they are at most a share of the requests, plus a minimum rate that allows
// retries at low traffic, plus what was saved before.
class RetryBudget {
 public:
  struct Settings {
    // Retries earned per thousand requests.
    int64_t retries_per_thousand = 100;
    // Retries earned per second without any requests.
    int64_t floor_per_second = 1;
    // Maximum number of unspent retries; also the number at the start.
    int64_t max_saved = 10;

    bool operator==(const Settings&) const = default;
  };

  RetryBudget(const Settings& settings, base::Instant now);

  // Counts a request. Not to be called for its retries.
  void NoteRequest();

  // Spends a retry and returns true if one is left.
  bool TrySpend(base::Instant now);

 private:
  void Earn(int64_t thousandths);

  Settings settings;
  int64_t saved_thousandths = 0;
  base::Instant earned_until;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETRY_BUDGET_H_
