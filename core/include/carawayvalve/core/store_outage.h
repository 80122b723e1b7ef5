#ifndef CARAWAYVALVE_CORE_STORE_OUTAGE_H_
#define CARAWAYVALVE_CORE_STORE_OUTAGE_H_

#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Tells an outage of the store from calls that fail while it is there: a watch
// that waits may be cut off at any time, and the next call is answered.
// Entries expire in an outage, as their owners can't renew them, and are
// registered again within a grace period after it.
class StoreOutage {
 public:
  explicit StoreOutage(base::Duration grace_period)
      : grace_period(grace_period) {}

  // Records that a call broke off that the store made wait. The caller must go
  // on with one that is answered at once, which shows whether the store is
  // there.
  void NoteCutOff(base::Instant now);
  // Records that the store failed to answer a call at once, or refused it. The
  // caller must repeat it soon. The store was known to be there at
  // `last_known`.
  void NoteFailure(base::Instant sent_at, base::Instant last_known);
  // Records an answer of the store.
  void NoteAnswer(base::Instant now);
  // Records that the store has just come back, whatever its answers say.
  void NoteReturn(base::Instant now) { this->returned_at = now; }

  // Returns whether an entry that is missing now may have expired in an outage
  // and may yet be registered again. True until the first answer after a
  // failure.
  bool MayHaveExpired(base::Instant now) const;

 private:
  base::Duration grace_period;
  // Since when the store has answered nothing; empty while it answers.
  std::optional<base::Instant> unanswered_since;
  // When it may have begun, if more than one call fails.
  base::Instant earliest;
  // The end of the last outage.
  std::optional<base::Instant> returned_at;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_STORE_OUTAGE_H_
