#ifndef CARAWAYVALVE_CORE_ACCOUNT_RATE_SHARES_H_
#define CARAWAYVALVE_CORE_ACCOUNT_RATE_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/config/rate_limit.h"
#include "carawayvalve/core/account_credit.h"

namespace carawayvalve::core {

// By how much the requests of an account may exceed its limit: by this fraction
// of what the limit allows, plus `slack` requests or tokens.
struct AccountRateTolerance {
  double fraction = 0;
  double slack = 0;

  bool operator==(const AccountRateTolerance&) const = default;
};

// A limit as it is enforced over all processes.
struct UsableRate {
  double per_second = 0;
  // The most that may be saved up; a request that counts more never runs.
  double burst = 0;

  // Time after which credit expires.
  base::Duration CreditLifetime() const;
  bool operator==(const UsableRate&) const = default;
};

// Returns the limit with a part of the tolerance; the rest is a reserve.
UsableRate UsableRateOf(const config::AccountRateLimit& limit,
                        const AccountRateTolerance& tolerance);

// The request may run; its credit has been taken off.
struct AccountAdmitted {
  Credit charge;

  bool operator==(const AccountAdmitted&) const = default;
};
// This process is short of credit. The account's collector may have it; nothing
// if that is this process.
struct AccountShort {
  std::optional<base::HostId> collector;
  double missing = 0;

  bool operator==(const AccountShort&) const = default;
};
// There is no credit for the request before `retry_after`.
struct AccountExceeded {
  base::Duration retry_after{};

  bool operator==(const AccountExceeded&) const = default;
};
// The request counts more than the account could ever save up.
struct AccountRequestTooLarge {
  bool operator==(const AccountRequestTooLarge&) const = default;
};
using AccountAdmission =
    std::variant<AccountAdmitted, AccountShort, AccountRequestTooLarge>;

// A process asks another for credit.
struct CreditQuestion {
  base::ClientAccountId account;
  // Distinguishes the questions of a process; never 0.
  int64_t id = 0;
  double amount = 0;
  // A part of the amount helps too.
  bool takes_part = false;

  bool operator==(const CreditQuestion&) const = default;
};

// Credit that the giver has taken off before it sends this.
struct CreditGrant {
  base::ClientAccountId account;
  // Increases from one grant of the giver's run to the next.
  int64_t id = 0;
  // The question that it answers; 0 for none.
  int64_t question = 0;
  // Empty for a refusal.
  Credit credit;
  // What the giver has left.
  double balance = 0;

  bool operator==(const CreditGrant&) const = default;
};

// What is known of an account's limit at one process.
struct AccountRateStatus {
  double share_per_second = 0;
  double balance = 0;
  int64_t spent = 0;
  int64_t refused = 0;
  // Time since a peer's grant; nothing before the first.
  std::optional<base::Duration> grant_age;

  bool operator==(const AccountRateStatus&) const = default;
};

// This process's part of the rate limits of client accounts. All processes
// together keep each limit, in touch or not, through any loss of messages and
// processes:
//
// Each process earns the same part of a rate, nothing until all others count it
// (see RetryBudgetMembers::RateDivisor), and starts without credit. Credit
// expires (see AccountCredit), and moves between processes only by grants,
// which the giver takes off first and the receiver applies at most once; what
// is lost on the way is lost.
//
// So that any process can use all of it, processes pass credit that they don't
// need at once to the account's collector, which is chosen by rendezvous
// hashing, and ask it when they are short. Different views of who collects
// cost credit some time on the way, never the limit.
class AccountRateShares {
 public:
  using Limits = std::map<base::ClientAccountId, config::AccountRateLimit>;

  // Sets the limits; credit is kept in proportion.
  void SetLimits(const Limits& limits,
                 const AccountRateTolerance& tolerance,
                 base::Instant now);
  // Sets the number of processes that earn; nothing if this one doesn't.
  void SetDivisor(std::optional<int64_t> divisor, base::Instant now);
  // Sets this process and the others that were heard lately.
  void SetHosts(const base::HostId& self, std::vector<base::HostId> live);

  bool HasLimit(const base::ClientAccountId& account) const;
  bool empty() const { return this->accounts.empty(); }

  // Admits a request of an account with a limit. `amount` is what it counts.
  AccountAdmission Admit(const base::ClientAccountId& account,
                         double amount,
                         base::Instant now);
  // Returns whether this process has credit for the request.
  bool CanAdmit(const base::ClientAccountId& account,
                double amount,
                base::Instant now);
  // Counts a request as refused, as it can't get credit. `peer_balance` is what
  // a peer has told to have.
  AccountExceeded Refuse(const base::ClientAccountId& account,
                         double amount,
                         double peer_balance,
                         base::Instant now);
  // Returns the credit of a request that hasn't run.
  void Refund(const base::ClientAccountId& account,
              const Credit& charge,
              base::Instant now);

  // Returns the peers to ask for any credit, as the account's collector is
  // silent or has too little; none if that was done just before.
  std::vector<base::HostId> PeersToSearch(const base::ClientAccountId& account,
                                          bool collector_is_silent,
                                          base::Instant now);
  CreditQuestion Ask(const base::ClientAccountId& account,
                     double missing,
                     bool takes_part);
  // Answers a peer with credit that is taken off, or without any.
  CreditGrant Answer(const CreditQuestion& question, base::Instant now);
  // Applies a grant of this run of a peer. Returns whether it was new.
  bool Apply(const std::string& giver_boot,
             const CreditGrant& grant,
             base::Instant now);
  // Takes off the credit that is due to the accounts' collectors.
  std::vector<std::pair<base::HostId, CreditGrant>> TakeForCollectors(
      base::Instant now);
  // Takes off all credit, as this process stops.
  std::vector<std::pair<base::HostId, CreditGrant>> TakeAll(base::Instant now);

  std::map<base::ClientAccountId, AccountRateStatus> Statuses(
      base::Instant now);

 private:
  struct Account {
    config::AccountRateLimit limit;
    UsableRate rate;
    AccountCredit credit;
    int64_t spent = 0;
    int64_t refused = 0;
    std::optional<base::Instant> granted;
    std::optional<base::Instant> searched;
  };

  double ShareOf(const Account& account) const;
  const base::HostId& CollectorOf(const base::ClientAccountId& account) const;
  std::vector<std::pair<base::HostId, CreditGrant>>
  TakeOlderThan(double lifetime_part, double kept_part, base::Instant now);

  base::HostId self;
  std::vector<base::HostId> live;
  // By account, as long as `live` doesn't change.
  mutable std::map<base::ClientAccountId, base::HostId> collectors;
  std::optional<int64_t> divisor;
  std::map<base::ClientAccountId, Account> accounts;
  int64_t last_question = 0;
  int64_t last_grant = 0;
  // The newest grant of each run of a peer.
  std::map<std::string, int64_t> applied;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ACCOUNT_RATE_SHARES_H_
