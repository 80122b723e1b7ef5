#ifndef CARAWAYVALVE_CORE_FAIR_QUEUE_H_
#define CARAWAYVALVE_CORE_FAIR_QUEUE_H_

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// An attempt that is queued for a backend server.
struct QueuedAttempt {
  base::AttemptId attempt;
  // Empty for attempts of open routes, which share one queue.
  base::ClientAccountId client_account;
  // Within an account, higher priorities are popped first, equal ones in FIFO
  // order.
  int32_t priority = 0;
  // Tokens charged to the account; at least one is charged.
  int64_t cost_tokens = 1;
  base::Instant deadline;
  std::string content_digest;
  // Suspected poison request: a backend server has crashed while it ran this
  // content.
  bool suspect = false;

  bool operator==(const QueuedAttempt&) const = default;
};

enum class PushResult {
  kQueued,
  kAlreadyQueued,
  kAccountFull,  // the account has reached its limit of queued attempts
  kDeadlinePassed,
};

// The agent's queue of attempts: deficit round robin over the client accounts.
// In each round an account receives a quantum of tokens by its weight and pops
// attempts as far as its deficit counter covers their cost, so that backlogged
// accounts are served in proportion to their weights whatever they send. The
// deficit of an account is dropped when its queue becomes empty.
class FairQueue {
 public:
  explicit FairQueue(int32_t max_queued_per_account);

  PushResult Push(const QueuedAttempt& queued, base::Instant now);

  // Removes and returns the next attempt. Attempts past their deadline are left
  // to DropExpired; suspected poison requests are skipped while another one
  // runs, so that a crash can be attributed to the content that caused it.
  std::optional<QueuedAttempt> Pop(base::Instant now, bool suspect_running);

  // Returns whether the attempt was queued.
  bool Remove(const base::AttemptId& attempt);

  // Removes and returns the attempts whose deadline has passed.
  std::vector<QueuedAttempt> DropExpired(base::Instant now);

  // Marks the queued attempts with this content as suspected poison requests.
  void MarkSuspect(const std::string& content_digest);

  // Accounts that aren't listed have the weight 1. Attempts that are already
  // queued stay, even above a lowered limit.
  void SetWeights(std::map<base::ClientAccountId, int32_t> weights);
  void SetMaxQueuedPerAccount(int32_t max_queued_per_account);

  size_t size() const { return this->locations.size(); }
  bool empty() const { return this->locations.empty(); }
  size_t QueuedOf(const base::ClientAccountId& account) const;
  // Total cost of all queued attempts.
  int64_t cost_tokens() const { return this->total_cost_tokens; }

 private:
  // Sorts by descending priority, then by arrival.
  using Position = std::pair<int64_t, uint64_t>;

  struct Account {
    std::map<Position, QueuedAttempt> waiting;
    int64_t deficit_tokens = 0;
  };

  struct Location {
    base::ClientAccountId account;
    Position position;
  };

  QueuedAttempt Take(const Location& place);
  // Moves the front account to the back of the round.
  void EndTurn();
  std::optional<QueuedAttempt> PopInOneRound(base::Instant now,
                                             bool suspect_running);
  bool SkipIdleRounds(base::Instant now, bool suspect_running);
  // Returns the tokens that the account receives in a round.
  int64_t QuantumOf(const base::ClientAccountId& account) const;

  int32_t max_queued_per_account;
  std::map<base::ClientAccountId, int32_t> weights;
  std::unordered_map<base::ClientAccountId, Account> accounts;
  // Backlogged accounts in round-robin order; the front one is being served.
  std::list<base::ClientAccountId> active_accounts;
  bool front_has_quantum = false;
  std::unordered_map<base::AttemptId, Location> locations;
  uint64_t arrivals = 0;
  int64_t total_cost_tokens = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_FAIR_QUEUE_H_
