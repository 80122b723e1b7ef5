#include "carawayvalve/core/account_rate_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "carawayvalve/core/duty.h"

namespace carawayvalve::core {

namespace {

// Part of the tolerance that is used. The rest is a reserve for processes that
// learn of a new one, or of a change of the limit, at different times.
constexpr double kUsablePart = 0.75;
// Credit is passed to the collector from this part of its lifetime on, except
// for this part of a process's share of the burst, which serves small requests.
constexpr double kPassAge = 0.2;
constexpr double kKeptPart = 0.1;
// Amounts that differ by less are equal.
constexpr double kPrecision = 1e-6;
constexpr base::Milliseconds kMinRetryAfter(50);
// The minimum interval between two searches for an account's credit while its
// collector is silent, and while it has too little.
constexpr base::Milliseconds kSearchInterval(250);
constexpr std::chrono::seconds kExtraSearchInterval(2);

base::Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

base::Duration UsableRate::CreditLifetime() const {
  constexpr double kMaxSeconds = 1e6;
  return ToDuration(std::min(this->burst / this->per_second, kMaxSeconds));
}

UsableRate UsableRateOf(const config::AccountRateLimit& limit,
                        const AccountRateTolerance& tolerance) {
  const double factor = 1 + kUsablePart * tolerance.fraction;
  return {limit.per_second * factor, static_cast<double>(limit.burst) * factor +
                                         kUsablePart * tolerance.slack};
}

void AccountRateShares::SetLimits(const Limits& limits,
                                  const AccountRateTolerance& tolerance,
                                  base::Instant now) {
  std::erase_if(this->accounts, [&](const auto& entry) {
    const auto found = limits.find(entry.first);
    return found == limits.end() ||
           found->second.unit != entry.second.limit.unit;
  });
  for (const auto& [name, limit] : limits) {
    const UsableRate rate = UsableRateOf(limit, tolerance);
    const auto [place, is_new] = this->accounts.try_emplace(
        name, Account{limit, rate, {rate.CreditLifetime(), now}, 0, 0, {}, {}});
    Account& account = place->second;
    account.limit = limit;
    if (!is_new && account.rate != rate) {
      account.credit.Earn(this->ShareOf(account), now);
      account.credit.Change(
          rate.CreditLifetime(),
          std::min(rate.per_second / account.rate.per_second, 1.0), now);
      account.rate = rate;
    }
  }
}

void AccountRateShares::SetDivisor(std::optional<int64_t> divisor,
                                   base::Instant now) {
  for (auto& [name, account] : this->accounts) {
    account.credit.Earn(this->ShareOf(account), now);
  }
  this->divisor = divisor;
}

void AccountRateShares::SetHosts(const base::HostId& self,
                                 std::vector<base::HostId> live) {
  if (this->self != self || this->live != live) {
    this->self = self;
    this->live = std::move(live);
    this->collectors.clear();
  }
}

bool AccountRateShares::HasLimit(const base::ClientAccountId& account) const {
  return this->accounts.contains(account);
}

double AccountRateShares::ShareOf(const Account& account) const {
  return this->divisor.has_value()
             ? account.rate.per_second /
                   static_cast<double>(std::max<int64_t>(*this->divisor, 1))
             : 0;
}

const base::HostId& AccountRateShares::CollectorOf(
    const base::ClientAccountId& account) const {
  const auto [place, is_new] =
      this->collectors.try_emplace(account, this->self);
  if (is_new && !this->live.empty()) {
    place->second = *PreferredHolder("account/" + account.value, this->live);
  }
  return place->second;
}

AccountAdmission AccountRateShares::Admit(const base::ClientAccountId& name,
                                          double amount,
                                          base::Instant now) {
  Account& account = this->accounts.at(name);
  if (amount > account.rate.burst) {
    ++account.refused;
    return AccountRequestTooLarge{};
  }
  account.credit.Earn(this->ShareOf(account), now);
  const double balance = account.credit.Balance(now);
  if (balance + kPrecision >= amount) {
    account.spent += std::llround(amount);
    return AccountAdmitted{account.credit.Take(amount, now)};
  }
  const base::HostId& collector = this->CollectorOf(name);
  return AccountShort{
      collector == this->self ? std::nullopt : std::optional(collector),
      amount - balance};
}

bool AccountRateShares::CanAdmit(const base::ClientAccountId& name,
                                 double amount,
                                 base::Instant now) {
  Account& account = this->accounts.at(name);
  account.credit.Earn(this->ShareOf(account), now);
  return account.credit.Balance(now) + kPrecision >= amount;
}

AccountExceeded AccountRateShares::Refuse(const base::ClientAccountId& name,
                                          double amount,
                                          double peer_balance,
                                          base::Instant now) {
  Account& account = this->accounts.at(name);
  ++account.refused;
  const double missing =
      amount - account.credit.Balance(now) - std::max(peer_balance, 0.0);
  return {std::max<base::Duration>(
      ToDuration(std::max(missing, 0.0) / account.rate.per_second),
      kMinRetryAfter)};
}

void AccountRateShares::Refund(const base::ClientAccountId& name,
                               const Credit& charge,
                               base::Instant now) {
  const auto found = this->accounts.find(name);
  if (found == this->accounts.end()) {
    return;
  }
  found->second.spent -= std::llround(AmountOf(charge));
  found->second.credit.Add(charge, now);
}

std::vector<base::HostId> AccountRateShares::PeersToSearch(
    const base::ClientAccountId& name,
    bool collector_is_silent,
    base::Instant now) {
  Account& account = this->accounts.at(name);
  const base::Duration interval =
      collector_is_silent ? kSearchInterval : kExtraSearchInterval;
  if (account.searched.has_value() && now - *account.searched < interval) {
    return {};
  }
  account.searched = now;
  std::vector<base::HostId> peers = this->live;
  std::erase(peers, this->self);
  return peers;
}

CreditQuestion AccountRateShares::Ask(const base::ClientAccountId& account,
                                      double missing,
                                      bool takes_part) {
  return {account, ++this->last_question, missing, takes_part};
}

CreditGrant AccountRateShares::Answer(const CreditQuestion& question,
                                      base::Instant now) {
  CreditGrant grant{question.account, ++this->last_grant, question.id, {}, 0};
  const auto found = this->accounts.find(question.account);
  if (found == this->accounts.end()) {
    return grant;
  }
  Account& account = found->second;
  account.credit.Earn(this->ShareOf(account), now);
  if (question.takes_part || account.credit.Balance(now) >= question.amount) {
    grant.credit = account.credit.Take(question.amount, now);
  }
  grant.balance = account.credit.Balance(now);
  return grant;
}

bool AccountRateShares::Apply(const std::string& giver_boot,
                              const CreditGrant& grant,
                              base::Instant now) {
  int64_t& newest = this->applied[giver_boot];
  if (grant.id <= newest) {
    return false;
  }
  newest = grant.id;
  const auto found = this->accounts.find(grant.account);
  if (found != this->accounts.end()) {
    found->second.credit.Earn(this->ShareOf(found->second), now);
    found->second.credit.Add(grant.credit, now);
    found->second.granted = now;
  }
  return true;
}

std::vector<std::pair<base::HostId, CreditGrant>>
AccountRateShares::TakeOlderThan(double lifetime_part,
                                 double kept_part,
                                 base::Instant now) {
  std::vector<std::pair<base::HostId, CreditGrant>> grants;
  for (auto& [name, account] : this->accounts) {
    const base::HostId& collector = this->CollectorOf(name);
    account.credit.Earn(this->ShareOf(account), now);
    const base::Duration age = now - account.credit.OldestEarned(now);
    const auto count = static_cast<double>(std::max<size_t>(
        this->live.size(), static_cast<size_t>(this->divisor.value_or(1))));
    const double excess =
        account.credit.Balance(now) - kept_part * account.rate.burst / count;
    if (collector == this->self || excess <= kPrecision ||
        age < account.rate.CreditLifetime() * lifetime_part) {
      continue;
    }
    CreditGrant grant{name, ++this->last_grant, 0, {}, 0};
    grant.credit = account.credit.Take(excess, now);
    grants.emplace_back(collector, std::move(grant));
  }
  return grants;
}

std::vector<std::pair<base::HostId, CreditGrant>>
AccountRateShares::TakeForCollectors(base::Instant now) {
  return this->TakeOlderThan(kPassAge, kKeptPart, now);
}

std::vector<std::pair<base::HostId, CreditGrant>> AccountRateShares::TakeAll(
    base::Instant now) {
  return this->TakeOlderThan(0, 0, now);
}

std::map<base::ClientAccountId, AccountRateStatus> AccountRateShares::Statuses(
    base::Instant now) {
  std::map<base::ClientAccountId, AccountRateStatus> statuses;
  for (auto& [name, account] : this->accounts) {
    account.credit.Earn(this->ShareOf(account), now);
    AccountRateStatus& status = statuses[name];
    status.share_per_second = this->ShareOf(account);
    status.balance = account.credit.Balance(now);
    status.spent = account.spent;
    status.refused = account.refused;
    if (account.granted.has_value()) {
      status.grant_age = now - *account.granted;
    }
  }
  return statuses;
}

}  // namespace carawayvalve::core
