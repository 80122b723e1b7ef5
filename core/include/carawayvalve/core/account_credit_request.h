#ifndef CARAWAYVALVE_CORE_ACCOUNT_CREDIT_REQUEST_H_
#define CARAWAYVALVE_CORE_ACCOUNT_CREDIT_REQUEST_H_

#include <optional>
#include <variant>
#include <vector>

#include "carawayvalve/core/account_rate_shares.h"

namespace carawayvalve::core {

// The request waits until a peer answers this, or for Timeout().
struct AskPeers {
  std::vector<base::HostId> peers;
  CreditQuestion question;

  bool operator==(const AskPeers&) const = default;
};
// The request goes on waiting as before.
struct KeepWaiting {
  bool operator==(const KeepWaiting&) const = default;
};
using CreditStep = std::variant<AccountAdmitted,
                                AskPeers,
                                KeepWaiting,
                                AccountExceeded,
                                AccountRequestTooLarge>;

// Finds the credit for one request: with this process; with the account's
// collector; or, if that one is silent or has too little, with all peers,
// unless that was tried just before.
class AccountCreditRequest {
 public:
  // `objective`: time within which the request should be answered.
  AccountCreditRequest(AccountRateShares& shares,
                       base::ClientAccountId account,
                       double amount,
                       base::Duration objective)
      : shares(shares),
        account(std::move(account)),
        amount(amount),
        objective(objective) {}

  CreditStep Start(base::Instant now);
  // Called for each grant that has been applied.
  CreditStep OnGrant(const CreditGrant& grant, base::Instant now);
  CreditStep OnTimeout(base::Instant now);
  // Returns how long to wait for the answer to a question.
  base::Duration Timeout() const;

 private:
  enum class Stage { kCollector, kSearch };

  CreditStep AskCollector(base::Instant now);
  // `peer_balance` is what the collector has told to have.
  CreditStep Search(bool collector_is_silent,
                    double peer_balance,
                    base::Instant now);
  CreditStep Refuse(double peer_balance, base::Instant now);

  AccountRateShares& shares;
  base::ClientAccountId account;
  double amount;
  base::Duration objective;
  Stage stage = Stage::kCollector;
  int64_t questions = 0;
  // The question that was asked last.
  int64_t question = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ACCOUNT_CREDIT_REQUEST_H_
