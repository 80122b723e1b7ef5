#ifndef CARAWAYVALVE_CORE_RETRY_BUDGET_H_
#define CARAWAYVALVE_CORE_RETRY_BUDGET_H_

#include <cstdint>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Keeps retries from multiplying an overload: over any time they number at
// most a share of the requests, beside a floor that lets a quiet process retry
// too.
class RetryBudget {
 public:
  struct Settings {
    // Retries earned by a thousand requests.
    int64_t retries_per_thousand = 100;
    // Retries earned by a second, whatever the requests.
    int64_t floor_per_second = 1;
    // Earned retries that can be saved up.
    int64_t max_saved = 10;

    bool operator==(const Settings&) const = default;
  };

  RetryBudget(const Settings& settings, base::Instant now);

  // Counts a request, not its retries.
  void NoteRequest();

  // Returns true and spends a retry if one is left.
  bool TrySpend(base::Instant now);

 private:
  void Earn(int64_t thousandths);

  Settings settings;
  int64_t saved_thousandths = 0;
  base::Instant earned_until;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETRY_BUDGET_H_
