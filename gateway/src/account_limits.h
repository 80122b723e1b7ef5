#ifndef CARAWAYVALVE_GATEWAY_SRC_ACCOUNT_LIMITS_H_
#define CARAWAYVALVE_GATEWAY_SRC_ACCOUNT_LIMITS_H_

#include <functional>
#include <list>

#include "carawayvalve/core/account_credit_request.h"
#include "carawayvalve/core/caller_request.h"
#include "carawayvalve/net/event_loop.h"

namespace carawayvalve::gateway {

// Returns what the request counts against the limit.
double RateAmountOf(const core::CallerRequest& request,
                    const config::AccountRateLimit& limit);

// The requests that wait for credit of their accounts, see
// core::AccountCreditRequest.
class AccountLimits {
 public:
  // Called once: with core::AccountAdmitted, or why the request may not run.
  using OnDecided = std::function<void(const core::CreditStep&)>;
  using Ask = std::function<void(const core::AskPeers&)>;

  AccountLimits(net::EventLoop& loop, core::AccountRateShares& shares)
      : loop(loop), shares(shares) {}

  // Sets what sends questions to peers; without it they are lost.
  void SetAsk(Ask ask) { this->ask = std::move(ask); }
  // Finds credit for a request of an account with a limit. May decide at once.
  void Admit(const base::ClientAccountId& account,
             double amount,
             base::Duration objective,
             const OnDecided& on_decided);
  // Called when a grant was applied.
  void OnGrant(const core::CreditGrant& grant);
  size_t waiting_count() const { return this->waiting.size(); }

 private:
  struct Waiting {
    Waiting(net::EventLoop& loop,
            core::AccountCreditRequest request,
            OnDecided on_decided)
        : request(std::move(request)),
          on_decided(std::move(on_decided)),
          timer(loop) {}

    core::AccountCreditRequest request;
    OnDecided on_decided;
    net::Timer timer;
  };

  void Take(std::list<Waiting>::iterator place, const core::CreditStep& step);

  net::EventLoop& loop;
  core::AccountRateShares& shares;
  Ask ask;
  std::list<Waiting> waiting;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_ACCOUNT_LIMITS_H_
