#include "carawayvalve/core/decaying_sum.h"

#include <algorithm>
#include <cmath>

namespace carawayvalve::core {

void DecayingSum::Add(double amount, base::Instant now) {
  this->sum = this->At(now) + amount;
  this->updated = now;
}

double DecayingSum::At(base::Instant now) const {
  const std::chrono::duration<double> age =
      std::max(now - this->updated, base::Duration(0));
  return this->sum *
         std::exp(-age / std::chrono::duration<double>(kTimeConstant));
}

}  // namespace carawayvalve::core
