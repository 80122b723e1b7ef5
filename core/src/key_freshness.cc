#include "carawayvalve/core/key_freshness.h"

#include <algorithm>

namespace carawayvalve::core {

void KeyFreshness::NoteStoreAnswer(base::Instant sent_at) {
  this->confirmed_at = this->confirmed_at.has_value()
                           ? std::max(*this->confirmed_at, sent_at)
                           : sent_at;
}

void KeyFreshness::NotePeerAnswer(base::Instant sent_at, base::Duration age) {
  this->NoteStoreAnswer(sent_at - age);
}

bool KeyFreshness::MayAcceptKeys(base::Instant now) const {
  return this->confirmed_at.has_value() &&
         now - *this->confirmed_at < this->limit - this->margin;
}

std::optional<base::Duration> KeyFreshness::Age(base::Instant now) const {
  if (!this->confirmed_at.has_value()) {
    return std::nullopt;
  }
  return now - *this->confirmed_at;
}

}  // namespace carawayvalve::core
