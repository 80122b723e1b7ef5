#ifndef CARAWAYVALVE_CORE_KEY_FRESHNESS_H_
#define CARAWAYVALVE_CORE_KEY_FRESHNESS_H_

#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Tracks since when this process's keys may be out of date. An answer of the
// store confirms that every withdrawal made before the request was sent is
// known here. Without an answer nothing is confirmed, also when no peer gets
// one either, since the store may still accept the operators' changes.
class KeyFreshness {
 public:
  // `limit` is how long after its withdrawal a key may still be accepted.
  // `margin` covers clock drift and the time between check and send.
  KeyFreshness(base::Duration limit, base::Duration margin)
      : limit(limit), margin(margin) {}

  void SetLimit(base::Duration changed) { this->limit = changed; }

  // Records that the store answered a request sent at `sent_at`, and that the
  // answer is in force in this process.
  void NoteStoreAnswer(base::Instant sent_at);

  // Records that a peer with the same version answered a request sent at
  // `sent_at`, and that its own newest confirmation was `age` old then. Only
  // this process's clock counts, so that a delay in transit makes no
  // confirmation look newer.
  void NotePeerAnswer(base::Instant sent_at, base::Duration age);

  // Returns whether keys may be accepted at `now`.
  bool MayAcceptKeys(base::Instant now) const;

  // Returns the age of the newest confirmation, nothing before the first.
  std::optional<base::Duration> Age(base::Instant now) const;

 private:
  base::Duration limit;
  base::Duration margin;
  std::optional<base::Instant> confirmed_at;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_KEY_FRESHNESS_H_
