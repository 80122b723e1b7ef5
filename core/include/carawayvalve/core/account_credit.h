#ifndef CARAWAYVALVE_CORE_ACCOUNT_CREDIT_H_
#define CARAWAYVALVE_CORE_ACCOUNT_CREDIT_H_

#include <deque>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Requests or tokens that an account may use, earned at or after `earned`.
struct CreditPortion {
  base::Instant earned;
  double amount = 0;

  bool operator==(const CreditPortion&) const = default;
};

using Credit = std::vector<CreditPortion>;

// Returns the sum of the portions.
double AmountOf(const Credit& credit);

// The credit that one process holds for one client account. Credit expires a
// fixed time after it was earned, wherever it has been since. If all processes
// together earn at most `rate`, they thus spend at most rate * (t + lifetime)
// in any time t: a token bucket that holds rate * lifetime.
class AccountCredit {
 public:
  AccountCredit(base::Duration lifetime, base::Instant now)
      : lifetime(lifetime), earned_until(now) {}

  // Earns this amount a second for the time since the last call.
  void Earn(double per_second, base::Instant now);
  double Balance(base::Instant now);
  // Returns when the oldest credit was earned; `now` if there is none.
  base::Instant OldestEarned(base::Instant now);
  // Takes up to this amount off, the oldest first.
  Credit Take(double amount, base::Instant now);
  // Returns and takes only what lasts some time yet: on its way to another
  // process, credit seems to get older than it is.
  double LastingBalance(base::Instant now);
  Credit TakeLasting(double amount, base::Instant now);
  // Adds credit of another process, or takes credit back.
  void Add(const Credit& credit, base::Instant now);
  // Changes the lifetime, and each amount by this factor.
  void Change(base::Duration new_lifetime, double factor, base::Instant now);

 private:
  // Returns the start of the span of time in which credit is kept as one.
  base::Instant SlotOf(base::Instant earned) const;
  void AddPortion(const CreditPortion& portion);
  void DropExpired(base::Instant now);
  // Returns the oldest portion that lasts some time yet.
  std::deque<CreditPortion>::iterator FirstLasting(base::Instant now);
  Credit TakeFrom(const std::deque<CreditPortion>::iterator& first,
                  double amount);

  base::Duration lifetime;
  base::Instant earned_until;
  // The oldest first, at most one a slot.
  std::deque<CreditPortion> portions;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ACCOUNT_CREDIT_H_
