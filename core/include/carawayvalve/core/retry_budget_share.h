#ifndef CARAWAYVALVE_CORE_RETRY_BUDGET_SHARE_H_
#define CARAWAYVALVE_CORE_RETRY_BUDGET_SHARE_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// This process's share of the retry budget of one service. All entry processes
// together may send, in any span of `window`, retries for at most `ratio` of
// the service's requests, plus `slack` more. The requests are those of that
// span, or of the span before it if there were more.
//
// The mean of the two spans is never more than the larger one, and unlike that
// it can be added up over processes. So each process keeps its own retries of
// any span within the ratio of half of its own requests of the two spans, plus
// its part of the slack (see RetryBudgetMembers). No retry needs communication
// between processes, and the bound holds in whatever order requests arrive,
// whichever process their callers move to, and while processes are cut off from
// one another. A retry counts in all spans that will include it, against the
// requests known so far: later requests only add to what is allowed.
class RetryBudgetShare {
 public:
  struct Settings {
    double ratio = 0.2;
    double slack = 0;
    base::Duration window = std::chrono::seconds(10);

    bool operator==(const Settings&) const = default;
  };

  // What is left to spend at one instant, in retries: from requests, and from
  // the slack.
  struct Balance {
    double credit = 0;
    double slack = 0;

    bool operator==(const Balance&) const = default;
  };

  explicit RetryBudgetShare(const Settings& settings) : settings(settings) {}

  // Changes the bounds; credit and spent slack are kept.
  void SetSettings(const Settings& changed) { this->settings = changed; }

  // Counts a caller's request, which earns credit for a part of a retry.
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
  // Returns the least, over all spans that will include a retry sent at `now`,
  // of what their requests have earned less what their retries have spent.
  // Negative if these have used slack.
  int64_t LeastCredit(base::Instant now) const;
  int64_t SlackPart(std::optional<int64_t> slack_divisor) const;

  Settings settings;
  // What the requests of two windows earned, the oldest first.
  std::deque<Portion> earned;
  // The retries of one window, the oldest first.
  std::deque<Portion> spent;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_RETRY_BUDGET_SHARE_H_
