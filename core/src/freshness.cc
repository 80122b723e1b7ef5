#include "carawayvalve/core/freshness.h"

#include <algorithm>

namespace carawayvalve::core {

void Freshness::NoteStore(base::Instant asked) {
  this->proof = this->proof.has_value() ? std::max(*this->proof, asked) : asked;
}

void Freshness::NotePeer(base::Instant asked, base::Duration age) {
  this->NoteStore(asked - age);
}

bool Freshness::MayAcceptKeys(base::Instant now) const {
  return this->proof.has_value() &&
         now - *this->proof < this->limit - this->margin;
}

std::optional<base::Duration> Freshness::Age(base::Instant now) const {
  if (!this->proof.has_value()) {
    return std::nullopt;
  }
  return now - *this->proof;
}

}  // namespace carawayvalve::core
