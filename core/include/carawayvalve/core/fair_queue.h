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

// An attempt that waits for its turn at a backend server.
struct QueuedAttempt {
  base::AttemptId attempt;
  // Empty for attempts of open routes, which share one turn.
  base::ClientAccountId client_account;
  // Within its account, higher ones go first and equal ones in order.
  int32_t priority = 0;
  // What its account pays for it; at least one is charged.
  int64_t cost_tokens = 1;
  base::Instant deadline;
  std::string content_digest;
  // A backend server has died while it ran this content.
  bool suspect = false;

  bool operator==(const QueuedAttempt&) const = default;
};

enum class PushResult {
  kQueued,
  kAlreadyQueued,
  kAccountFull,  // the account has as many queued as it may
  kDeadlinePassed,
};

// The agent's queue: deficit round robin over the client accounts. In each
// round an account earns tokens by its weight, and its attempts go as far as
// what it has earned pays for them, so that accounts with work waiting are
// served in proportion to their weights whatever they send. An account that
// has nothing waiting keeps nothing.
class FairQueue {
 public:
  explicit FairQueue(int32_t max_queued_per_account);

  PushResult Push(const QueuedAttempt& queued, base::Instant now);

  // Takes out the attempt whose turn it is. Attempts past their deadline stay
  // for DropExpired; suspects stay while another suspect runs, since a death
  // must be put down to the content that caused it.
  std::optional<QueuedAttempt> Pop(base::Instant now, bool suspect_running);

  // Returns true if the attempt was queued.
  bool Remove(const base::AttemptId& attempt);

  // Takes out the attempts whose deadline has passed.
  std::vector<QueuedAttempt> DropExpired(base::Instant now);

  // Makes the queued attempts with this content suspects.
  void MarkSuspect(const std::string& content_digest);

  // Accounts that aren't listed have the weight 1. What is queued stays, also
  // above a lowered limit.
  void SetWeights(std::map<base::ClientAccountId, int32_t> weights);
  void SetMaxQueuedPerAccount(int32_t max_queued_per_account);

  size_t size() const { return this->locations.size(); }
  bool empty() const { return this->locations.empty(); }
  size_t QueuedOf(const base::ClientAccountId& account) const;
  // Of all that is queued.
  int64_t cost_tokens() const { return this->total_cost_tokens; }

 private:
  // Sorts by falling priority, then by arrival.
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
  // Gives the turn to the next account.
  void EndTurn();
  std::optional<QueuedAttempt> PopInOneRound(base::Instant now,
                                             bool suspect_running);
  bool SkipIdleRounds(base::Instant now, bool suspect_running);
  // What the account earns in a round.
  int64_t QuantumOf(const base::ClientAccountId& account) const;

  int32_t max_queued_per_account;
  std::map<base::ClientAccountId, int32_t> weights;
  std::unordered_map<base::ClientAccountId, Account> accounts;
  // Accounts with attempts waiting; the front one has the turn.
  std::list<base::ClientAccountId> active_accounts;
  bool front_has_quantum = false;
  std::unordered_map<base::AttemptId, Location> locations;
  uint64_t arrivals = 0;
  int64_t total_cost_tokens = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_FAIR_QUEUE_H_
