#ifndef CARAWAYVALVE_CORE_RETRY_BUDGET_SHARE_H_
#define CARAWAYVALVE_CORE_RETRY_BUDGET_SHARE_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// This process's share of the retry budget of one service. All entry processes
// together may send, in any span of `window`, retries for at most `ratio` of
// the service's requests, plus `slack` more.
//
// Each request earns credit, a fraction of a retry, that expires soon: a
// request counts once, whichever process its caller moves to, and only for
// retries close to it in time. Retries beyond the credit use the slack, of
// which a process has an equal part once it knows how many processes share it
// (see RetryBudgetMembers). So no retry needs communication between processes,
// and the bound also holds while they are cut off from one another.
class RetryBudgetShare {
 public:
  struct Settings {
    double ratio = 0.2;
    double slack = 0;
    base::Duration window = std::chrono::seconds(10);

    bool operator==(const Settings&) const = default;
  };

  // What is left to spend at one instant, in retries.
  struct Balance {
    double credit = 0;
    double slack = 0;

    bool operator==(const Balance&) const = default;
  };

  explicit RetryBudgetShare(const Settings& settings) : settings(settings) {}

  // Changes the bounds; credit and spent slack are kept.
  void SetSettings(const Settings& changed) { this->settings = changed; }

  // Counts a caller's request, which earns credit.
  void NoteRequest(base::Instant now);

  // Spends a retry and returns true if one is left. The slack is divided by
  // `slack_divisor`; if that is nothing, only credit is spent.
  bool TrySpend(std::optional<int64_t> slack_divisor, base::Instant now);
  // Returns whether TrySpend would succeed `count` times.
  bool CanSpend(std::optional<int64_t> slack_divisor,
                base::Instant now,
                int64_t count = 1);
  Balance Remaining(std::optional<int64_t> slack_divisor, base::Instant now);

 private:
  // Millionths of a retry that were earned or spent at one time.
  struct Portion {
    base::Instant at;
    int64_t millionths = 0;
  };

  void DropExpired(base::Instant now);
  int64_t RemainingSlack(std::optional<int64_t> slack_divisor) const;
  void SpendCredit(int64_t millionths);

  Settings settings;
  // Unspent credit, the oldest first; `credit` is the sum in millionths.
  std::deque<Portion> earned;
  int64_t credit = 0;
  // Slack spent within the window; `slack_spent` is the sum in millionths.
  std::deque<Portion> spent;
  int64_t slack_spent = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETRY_BUDGET_SHARE_H_
