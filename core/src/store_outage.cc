#include "carawayvalve/core/store_outage.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

// An entry lasts for three reports of its owner. A shorter outage keeps at most
// one report from the store, so that no entry expires for it.
constexpr std::chrono::seconds kMinOutage(1);

}  // namespace

void StoreOutage::NoteCutOff(base::Instant now) {
  if (!this->unanswered_since.has_value()) {
    this->unanswered_since = now;
    this->earliest = now;
  }
}

void StoreOutage::NoteFailure(base::Instant sent_at, base::Instant last_known) {
  if (this->unanswered_since.has_value()) {
    this->unanswered_since = std::min(*this->unanswered_since, this->earliest);
    return;
  }
  this->unanswered_since = sent_at;
  this->earliest = last_known;
}

void StoreOutage::NoteAnswer(base::Instant now) {
  if (this->unanswered_since.has_value() &&
      now - *this->unanswered_since >= kMinOutage) {
    this->returned_at = now;
  }
  this->unanswered_since.reset();
}

bool StoreOutage::MayHaveExpired(base::Instant now) const {
  return this->unanswered_since.has_value() ||
         (this->returned_at.has_value() &&
          now - *this->returned_at < this->grace_period);
}

}  // namespace carawayvalve::core
