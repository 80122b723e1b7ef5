#ifndef CARAWAYVALVE_CORE_RETRY_BUDGET_SHARE_H_
#define CARAWAYVALVE_CORE_RETRY_BUDGET_SHARE_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// This process's share of the retries that all entry processes together may
// send to one service: in any span of `window`, at most `ratio` of the
// service's requests and `slack` more.
//
// Each request earns a part of a retry, which lapses soon: wherever callers
// move, a request counts once, and only for retries close to it. The slack is
// for what goes beyond; a process has one part of it once it knows into how
// many it is divided (see RetryBudgetMembers). So no word between processes is needed
// for each retry, also while they are cut off from one another.
class RetryBudgetShare {
 public:
  struct Settings {
    double ratio = 0.2;
    double slack = 0;
    base::Duration window = std::chrono::seconds(10);

    bool operator==(const Settings&) const = default;
  };

  // What is left at one instant, in retries.
  struct Balance {
    double credit = 0;
    double slack = 0;

    bool operator==(const Balance&) const = default;
  };

  explicit RetryBudgetShare(const Settings& settings) : settings(settings) {}

  // What was spent stays spent.
  void SetSettings(const Settings& changed) { this->settings = changed; }

  // Counts a request of a caller.
  void NoteRequest(base::Instant now);

  // Spends a retry if one is left, with the slack divided into `parts`; without
  // any of it if that isn't known.
  bool TrySpend(std::optional<int64_t> slack_divisor, base::Instant now);
  // Whether TrySpend would succeed.
  bool CanSpend(std::optional<int64_t> slack_divisor, base::Instant now);
  Balance Remaining(std::optional<int64_t> slack_divisor, base::Instant now);

 private:
  // Parts of a retry in millionths, with the time from which they count.
  struct Portion {
    base::Instant at;
    int64_t millionths = 0;
  };

  void DropExpired(base::Instant now);
  int64_t RemainingSlack(std::optional<int64_t> slack_divisor) const;
  void SpendCredit(int64_t millionths);

  Settings settings;
  // Earned and not spent yet, the oldest first.
  std::deque<Portion> earned;
  int64_t credit = 0;
  // Spent of the slack within the window.
  std::deque<Portion> spent;
  int64_t slack_spent = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETRY_BUDGET_SHARE_H_
