#include "carawayvalve/core/key_freshness.h"

#include <algorithm>

namespace carawayvalve::core {

void KeyFreshness::NoteStoreAnswer(base::Instant asked) {
  this->proof = this->proof.has_value() ? std::max(*this->proof, asked) : asked;
}

void KeyFreshness::NotePeerAnswer(base::Instant asked, base::Duration age) {
  this->NoteStoreAnswer(asked - age);
}

bool KeyFreshness::MayAcceptKeys(base::Instant now) const {
  return this->proof.has_value() &&
         now - *this->proof < this->limit - this->margin;
}

std::optional<base::Duration> KeyFreshness::Age(base::Instant now) const {
  if (!this->proof.has_value()) {
    return std::nullopt;
  }
  return now - *this->proof;
}

}  // namespace carawayvalve::core
