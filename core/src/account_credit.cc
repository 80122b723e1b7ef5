#include "carawayvalve/core/account_credit.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace carawayvalve::core {

namespace {

constexpr int64_t kSlotsPerLifetime = 16;
// Credit lasts while it has this part of its lifetime left.
constexpr int64_t kLastingDivisor = 8;

double ToSeconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

double AmountOf(const Credit& credit) {
  double sum = 0;
  for (const CreditPortion& portion : credit) {
    sum += portion.amount;
  }
  return sum;
}

base::Instant AccountCredit::SlotOf(base::Instant earned) const {
  const base::Duration slot =
      std::max(this->lifetime / kSlotsPerLifetime, base::Duration(1));
  return earned - earned.time_since_epoch() % slot;
}

void AccountCredit::AddPortion(const CreditPortion& portion) {
  const base::Instant slot = this->SlotOf(portion.earned);
  const auto place =
      std::lower_bound(this->portions.begin(), this->portions.end(), slot,
                       [](const CreditPortion& kept, base::Instant earned) {
                         return kept.earned < earned;
                       });
  if (place != this->portions.end() && place->earned == slot) {
    place->amount += portion.amount;
  } else {
    this->portions.insert(place, {slot, portion.amount});
  }
}

void AccountCredit::DropExpired(base::Instant now) {
  while (!this->portions.empty() &&
         this->portions.front().earned + this->lifetime <= now) {
    this->portions.pop_front();
  }
}

void AccountCredit::Earn(double per_second, base::Instant now) {
  const base::Duration slot =
      std::max(this->lifetime / kSlotsPerLifetime, base::Duration(1));
  base::Instant from = std::max(this->earned_until, now - this->lifetime);
  while (per_second > 0 && from < now) {
    const base::Instant to = std::min(this->SlotOf(from) + slot, now);
    this->AddPortion({from, per_second * ToSeconds(to - from)});
    from = to;
  }
  this->earned_until = std::max(this->earned_until, now);
  this->DropExpired(now);
}

double AccountCredit::Balance(base::Instant now) {
  this->DropExpired(now);
  double sum = 0;
  for (const CreditPortion& portion : this->portions) {
    sum += portion.amount;
  }
  return sum;
}

base::Instant AccountCredit::OldestEarned(base::Instant now) {
  this->DropExpired(now);
  return this->portions.empty() ? now : this->portions.front().earned;
}

std::deque<CreditPortion>::iterator AccountCredit::FirstLasting(
    base::Instant now) {
  this->DropExpired(now);
  const base::Duration max_age =
      this->lifetime - this->lifetime / kLastingDivisor;
  return std::find_if(this->portions.begin(), this->portions.end(),
                      [&](const CreditPortion& portion) {
                        return now - portion.earned < max_age;
                      });
}

double AccountCredit::LastingBalance(base::Instant now) {
  double sum = 0;
  for (auto portion = this->FirstLasting(now); portion != this->portions.end();
       ++portion) {
    sum += portion->amount;
  }
  return sum;
}

Credit AccountCredit::TakeFrom(const std::deque<CreditPortion>::iterator& first,
                               double amount) {
  Credit taken;
  auto portion = first;
  for (; amount > 0 && portion != this->portions.end(); ++portion) {
    const double part = std::min(amount, portion->amount);
    taken.push_back({portion->earned, part});
    amount -= part;
    portion->amount -= part;
    if (portion->amount > 0) {
      break;
    }
  }
  this->portions.erase(first, portion);
  return taken;
}

Credit AccountCredit::Take(double amount, base::Instant now) {
  this->DropExpired(now);
  return this->TakeFrom(this->portions.begin(), amount);
}

Credit AccountCredit::TakeLasting(double amount, base::Instant now) {
  return this->TakeFrom(this->FirstLasting(now), amount);
}

void AccountCredit::Add(const Credit& credit, base::Instant now) {
  for (const CreditPortion& portion : credit) {
    if (portion.amount > 0 && portion.earned <= now) {
      this->AddPortion(portion);
    }
  }
  this->DropExpired(now);
}

void AccountCredit::Change(base::Duration new_lifetime,
                           double factor,
                           base::Instant now) {
  this->lifetime = new_lifetime;
  const std::deque<CreditPortion> before = std::exchange(this->portions, {});
  for (const CreditPortion& portion : before) {
    this->AddPortion({portion.earned, portion.amount * factor});
  }
  this->DropExpired(now);
}

}  // namespace carawayvalve::core
