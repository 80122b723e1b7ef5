#ifndef CARAWAYVALVE_CORE_STORE_OUTAGE_H_
#define CARAWAYVALVE_CORE_STORE_OUTAGE_H_

#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// A call that the store refused, or didn't answer.
struct UnansweredCall {
  base::Instant sent_at;
  // The store made it wait for a change.
  bool was_waiting = false;

  bool operator==(const UnansweredCall&) const = default;
};

// Tells an outage of the store from calls that fail while it is there: a watch
// that waits may be cut off at any time, and the next call is answered.
// Entries expire in an outage, as their owners can't renew them, and are
// registered again within a grace period after it.
class StoreOutage {
 public:
  struct Settings {
    // How long after an outage an entry may be registered again.
    base::Duration grace_period{};
    // A shorter absence of the store makes no entry expire. An entry lasts for
    // several reports of its owner, so that this may be the time between two.
    base::Duration min_outage{};

    bool operator==(const Settings&) const = default;
  };

  explicit StoreOutage(const Settings& settings) : settings(settings) {}

  // Records a call that ended just now. The caller must go on soon with one
  // that is answered at once, which shows whether the store is there. That was
  // known last at `last_known`; a call that waited shows it until it ended.
  void NoteUnanswered(const UnansweredCall& call,
                      base::Instant last_known,
                      base::Instant now);
  // Records an answer of the store.
  void NoteAnswer(base::Instant now);
  // Records that the store has just come back, whatever its answers say.
  void NoteReturn(base::Instant now) { this->returned_at = now; }

  // Returns whether an entry that is missing now may have expired in an outage
  // and may yet be registered again. True until the first answer after a
  // failure.
  bool MayHaveExpired(base::Instant now) const;

 private:
  Settings settings;
  // Since when the store has answered nothing; empty while it answers.
  std::optional<base::Instant> unanswered_since;
  // When it may have begun, if more than one call fails.
  base::Instant earliest;
  // The end of the last outage.
  std::optional<base::Instant> returned_at;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_STORE_OUTAGE_H_
