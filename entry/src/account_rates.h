#ifndef CARAWAYVALVE_ENTRY_SRC_ACCOUNT_RATES_H_
#define CARAWAYVALVE_ENTRY_SRC_ACCOUNT_RATES_H_

#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>
#include <vector>

#include "carawayvalve/base/log.h"
#include "carawayvalve/config/configuration.h"
#include "carawayvalve/core/account_credit_request.h"
#include "carawayvalve/core/rate_limit_members.h"
#include "carawayvalve/systems/host_list.h"
#include "credit_links.h"

namespace carawayvalve::entry {

class AccountRates;

// The credit that a request was charged with. It goes back to the account when
// the request is settled as not run, or the last reference is dropped before.
class AccountCharge {
 public:
  AccountCharge(AccountRates& rates,
                base::ClientAccountId account,
                core::Credit credit)
      : rates(rates), account(std::move(account)), credit(std::move(credit)) {}
  ~AccountCharge();

  AccountCharge(const AccountCharge&) = delete;
  AccountCharge& operator=(const AccountCharge&) = delete;

  // Called by one thread when the request ends.
  void Settle(bool may_have_run);

 private:
  AccountRates& rates;
  const base::ClientAccountId account;
  core::Credit credit;
};

// What a request counts against its account's rate limit.
struct ChargedRequest {
  base::RequestId id;
  base::ClientAccountId client_account;
  // Of the prompt and the most that it may generate; nothing if its body tells
  // none.
  std::optional<int64_t> tokens;
  // Time within which it should be answered.
  base::Duration objective{};
};

// The state of one account's limit at this process.
struct AccountRateRow {
  base::ClientAccountId account;
  core::AccountRateStatus status;
};

// Enforces the rate limits of client accounts together with the other entry
// processes, see core::AccountRateShares. Thread-safe.
class AccountRates {
 public:
  // The charge is null if the account has no limit.
  using Decision = std::variant<std::shared_ptr<AccountCharge>,
                                core::AccountExceeded,
                                core::AccountRequestTooLarge>;
  // Called once and without locks; must not throw.
  using OnDecided = std::function<void(const Decision&)>;

  AccountRates(const base::HostId& self,
               const base::BootId& boot,
               const core::RateLimitMembers::Settings& settings = {});
  ~AccountRates();

  AccountRates(const AccountRates&) = delete;
  AccountRates& operator=(const AccountRates&) = delete;

  void SetAccounts(const std::vector<config::ClientAccount>& accounts);
  // Called for each reading of the host list.
  void SetHosts(const std::vector<systems::Host>& hosts);
  // Charges the request, at once or after a short wait for credit.
  void Charge(const ChargedRequest& request, const OnDecided& on_decided);
  // Answers a call of another entry process.
  void Answer(wire::gen::CreditAnswer& answer,
              const wire::gen::CreditMessage& message);
  // Passes all credit to others, as this process is about to end.
  void Leave();
  // Refuses the requests that wait, and ends the threads.
  void Stop();

  // Returns the accounts with a limit.
  std::vector<AccountRateRow> Rows();
  // Returns the number of processes that divide the limits; nothing while this
  // one earns nothing.
  std::optional<int64_t> Divisor() const;

 private:
  friend class AccountCharge;

  struct Waiting {
    ChargedRequest request;
    core::AccountCreditRequest credit;
    OnDecided on_decided;
    base::Instant timeout;
  };
  using Place = std::list<Waiting>::iterator;
  struct Decided {
    OnDecided on_decided;
    Decision decision;
  };

  double AmountOf(const ChargedRequest& request) const;
  // These require the lock to be held, and add what is to be called without it.
  void Take(Place place,
            const core::CreditStep& step,
            std::vector<Decided>& decided);
  Decision Decide(const ChargedRequest& request, const core::CreditStep& step);
  void ApplyGrants(const std::string& giver,
                   const std::vector<core::CreditGrant>& grants,
                   std::vector<Decided>& decided);
  void CheckTimeouts(base::Instant now, std::vector<Decided>& decided);

  // These require the lock to be held.
  void Tick(base::Instant now);
  void NoteHosts(base::Instant now);
  void Give(
      const std::vector<std::pair<base::HostId, core::CreditGrant>>& grants);
  base::Instant NextTimeout() const;
  void LogRefusal(const ChargedRequest& request,
                  const std::string& what,
                  base::Instant now);
  void LogStatuses(base::Instant now);

  void OnGrants(const std::string& giver,
                const std::vector<core::CreditGrant>& grants);
  void Refund(const base::ClientAccountId& account, const core::Credit& credit);
  void Run();

  const base::HostId self;
  const base::BootId boot;
  const base::Log log;
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  bool leaving = false;
  core::AccountRateShares::Limits limits;
  core::AccountRateShares shares;
  core::RateLimitMembers members;
  std::list<Waiting> waiting;
  base::Instant next_tick;
  base::Instant next_log;
  std::map<base::ClientAccountId, core::AccountRateStatus> logged;
  CreditLinks links;
  std::thread timer;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_ACCOUNT_RATES_H_
