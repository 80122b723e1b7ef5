#ifndef CARAWAYVALVE_CORE_KEY_FRESHNESS_H_
#define CARAWAYVALVE_CORE_KEY_FRESHNESS_H_

#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Knows since when this process's keys may be out of date. A store that
// answered a question says that whatever was withdrawn before the question was
// sent is known here; silence says nothing, also when all peers hear the same
// silence, since the store may still take the operators' changes.
class KeyFreshness {
 public:
  // `limit` is how long after its withdrawal a key may still be accepted.
  // `margin` covers clocks that run at other rates and the time between
  // check and send.
  KeyFreshness(base::Duration limit, base::Duration margin)
      : limit(limit), margin(margin) {}

  void SetLimit(base::Duration changed) { this->limit = changed; }

  // The store answered a question that was sent at `asked`, and all that it
  // said is in force here.
  void NoteStoreAnswer(base::Instant asked);

  // A peer that has the same version answered a question that this process sent
  // at `asked`; its own newest proof was `age` old then. Only this process's
  // clock decides, so that a word that was long under way is no newer for it.
  void NotePeerAnswer(base::Instant asked, base::Duration age);

  // Keys may be accepted at `now`.
  bool MayAcceptKeys(base::Instant now) const;

  // Returns the age of the newest proof, nothing before the first.
  std::optional<base::Duration> Age(base::Instant now) const;

 private:
  base::Duration limit;
  base::Duration margin;
  std::optional<base::Instant> proof;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_KEY_FRESHNESS_H_
