#include "carawayvalve/core/fair_queue.h"

#include <algorithm>
#include <limits>

namespace carawayvalve::core {

namespace {

// Tokens per round for an account of weight 1: one piece of an engine's cache.
constexpr int64_t kQuantumTokens = 2048;

int64_t CostOf(const QueuedAttempt& queued) {
  return std::max<int64_t>(1, queued.cost_tokens);
}

// Returns the first attempt of the account that may start, null if there is
// none.
const QueuedAttempt* FirstEligible(
    const std::map<std::pair<int64_t, uint64_t>, QueuedAttempt>& waiting,
    base::Instant now,
    bool suspect_running) {
  for (const auto& [position, queued] : waiting) {
    if (queued.deadline > now && !(queued.suspect && suspect_running)) {
      return &queued;
    }
  }
  return nullptr;
}

}  // namespace

FairQueue::FairQueue(int32_t max_queued_per_account)
    : max_queued_per_account(max_queued_per_account) {}

PushResult FairQueue::Push(const QueuedAttempt& queued, base::Instant now) {
  if (this->locations.contains(queued.attempt)) {
    return PushResult::kAlreadyQueued;
  }
  if (queued.deadline <= now) {
    return PushResult::kDeadlinePassed;
  }
  if (this->QueuedOf(queued.client_account) >=
      static_cast<size_t>(std::max(0, this->max_queued_per_account))) {
    return PushResult::kAccountFull;
  }
  Account& account = this->accounts[queued.client_account];
  if (account.waiting.empty()) {
    this->active_accounts.push_back(queued.client_account);
  }
  const Position position = {-static_cast<int64_t>(queued.priority),
                             this->arrivals};
  this->arrivals += 1;
  account.waiting.emplace(position, queued);
  this->locations.emplace(queued.attempt,
                          Location{queued.client_account, position});
  this->total_cost_tokens += CostOf(queued);
  return PushResult::kQueued;
}

std::optional<QueuedAttempt> FairQueue::Pop(base::Instant now,
                                            bool suspect_running) {
  auto popped = this->PopInOneRound(now, suspect_running);
  if (popped || !this->SkipIdleRounds(now, suspect_running)) {
    return popped;
  }
  return this->PopInOneRound(now, suspect_running);
}

std::optional<QueuedAttempt> FairQueue::PopInOneRound(base::Instant now,
                                                      bool suspect_running) {
  // The front account may have used part of its quantum already and is then
  // visited twice.
  const size_t visits = this->active_accounts.size() + 1;
  for (size_t visit = 0; visit < visits && !this->active_accounts.empty();
       ++visit) {
    const base::ClientAccountId name = this->active_accounts.front();
    Account& account = this->accounts.at(name);
    const QueuedAttempt* queued =
        FirstEligible(account.waiting, now, suspect_running);
    if (queued == nullptr) {
      this->EndTurn();
      continue;
    }
    if (!this->front_has_quantum) {
      account.deficit_tokens += this->QuantumOf(name);
      this->front_has_quantum = true;
    }
    const int64_t cost = CostOf(*queued);
    if (cost <= account.deficit_tokens) {
      account.deficit_tokens -= cost;
      return this->Take(this->locations.at(queued->attempt));
    }
    this->EndTurn();
  }
  return std::nullopt;
}

// Credits every eligible account at once with the quanta of the rounds that
// pass until the first of them can pay for an attempt. Returns false if no
// account has an attempt that may start.
bool FairQueue::SkipIdleRounds(base::Instant now, bool suspect_running) {
  int64_t rounds = std::numeric_limits<int64_t>::max();
  std::vector<base::ClientAccountId> eligible;
  for (const base::ClientAccountId& name : this->active_accounts) {
    const Account& account = this->accounts.at(name);
    const QueuedAttempt* queued =
        FirstEligible(account.waiting, now, suspect_running);
    if (queued == nullptr) {
      continue;
    }
    const int64_t missing = CostOf(*queued) - account.deficit_tokens;
    const int64_t quantum = this->QuantumOf(name);
    rounds = std::min(rounds, (missing + quantum - 1) / quantum);
    eligible.push_back(name);
  }
  for (const base::ClientAccountId& name : eligible) {
    // The next call of PopInOneRound credits the last of these rounds.
    this->accounts.at(name).deficit_tokens +=
        (rounds - 1) * this->QuantumOf(name);
  }
  return !eligible.empty();
}

bool FairQueue::Remove(const base::AttemptId& attempt) {
  const auto found = this->locations.find(attempt);
  if (found == this->locations.end()) {
    return false;
  }
  this->Take(found->second);
  return true;
}

std::vector<QueuedAttempt> FairQueue::DropExpired(base::Instant now) {
  std::vector<Location> expired;
  for (const auto& [attempt, location] : this->locations) {
    const Account& account = this->accounts.at(location.account);
    if (account.waiting.at(location.position).deadline <= now) {
      expired.push_back(location);
    }
  }
  std::vector<QueuedAttempt> dropped;
  dropped.reserve(expired.size());
  for (const Location& location : expired) {
    dropped.push_back(this->Take(location));
  }
  return dropped;
}

void FairQueue::MarkSuspect(const std::string& content_digest) {
  for (auto& [name, account] : this->accounts) {
    for (auto& [position, queued] : account.waiting) {
      queued.suspect =
          queued.suspect || queued.content_digest == content_digest;
    }
  }
}

void FairQueue::SetWeights(std::map<base::ClientAccountId, int32_t> weights) {
  this->weights = std::move(weights);
}

void FairQueue::SetMaxQueuedPerAccount(int32_t max_queued_per_account) {
  this->max_queued_per_account = max_queued_per_account;
}

size_t FairQueue::QueuedOf(const base::ClientAccountId& account) const {
  const auto found = this->accounts.find(account);
  return found == this->accounts.end() ? 0 : found->second.waiting.size();
}

QueuedAttempt FairQueue::Take(const Location& location) {
  const Location taken = location;
  const auto account = this->accounts.find(taken.account);
  const auto found = account->second.waiting.find(taken.position);
  QueuedAttempt queued = std::move(found->second);
  account->second.waiting.erase(found);
  this->locations.erase(queued.attempt);
  this->total_cost_tokens -= CostOf(queued);
  if (account->second.waiting.empty()) {
    if (this->active_accounts.front() == taken.account) {
      this->front_has_quantum = false;
    }
    this->active_accounts.remove(taken.account);
    this->accounts.erase(account);
  }
  return queued;
}

void FairQueue::EndTurn() {
  this->active_accounts.splice(this->active_accounts.end(),
                               this->active_accounts,
                               this->active_accounts.begin());
  this->front_has_quantum = false;
}

int64_t FairQueue::QuantumOf(const base::ClientAccountId& account) const {
  const auto found = this->weights.find(account);
  const int32_t weight = found == this->weights.end() ? 1 : found->second;
  return kQuantumTokens * std::max(1, weight);
}

}  // namespace carawayvalve::core
