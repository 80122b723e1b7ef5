#include "carawayvalve/core/store_outage.h"

#include <algorithm>

namespace carawayvalve::core {

void StoreOutage::NoteUnanswered(const UnansweredCall& call,
                                 base::Instant last_known,
                                 base::Instant now) {
  if (this->unanswered_since.has_value()) {
    this->unanswered_since = std::min(*this->unanswered_since, this->earliest);
  } else if (call.was_waiting) {
    this->unanswered_since = now;
    this->earliest = now;
  } else {
    this->unanswered_since = call.sent_at;
    this->earliest = last_known;
  }
}

void StoreOutage::NoteAnswer(base::Instant now) {
  if (this->unanswered_since.has_value() &&
      now - *this->unanswered_since >= this->settings.min_outage) {
    this->returned_at = now;
  }
  this->unanswered_since.reset();
}

bool StoreOutage::MayHaveExpired(base::Instant now) const {
  return this->unanswered_since.has_value() ||
         (this->returned_at.has_value() &&
          now - *this->returned_at < this->settings.grace_period);
}

}  // namespace carawayvalve::core
