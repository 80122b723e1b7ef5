#ifndef CARAWAYVALVE_CORE_STALENESS_TRACKER_H_
#define CARAWAYVALVE_CORE_STALENESS_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Whether a process may still use its copy of the keys.
enum class FreshnessState {
  // The copy was confirmed within the limit.
  kFresh,
  // A majority of peers answer and none reaches the store: no key can be
  // withdrawn there, so the copy stays in use.
  kPlatformOutage,
  // There is no recent confirmation and no evidence of an outage: keys may have
  // been withdrawn without this process knowing, so none is accepted.
  kCutOff,
};

// Tracks when this process and its peers last had an answer of the store. All
// ages count from when the request was sent, so that delays make a copy look
// older, never newer. Requests that wait for a change must therefore wait for
// much less than the limit.
class StalenessTracker {
 public:
  // Records that the store answered a configuration request sent at `sent_at`,
  // and that this process has applied the answer.
  void NoteStoreAnswer(base::Instant sent_at);

  // Records that a peer answered a request sent at `sent_at`. The peer has
  // `generation`, which it or the process it copies from confirmed with the
  // store `store_age` before the answer; none if that never happened.
  void NotePeerAnswer(const base::HostId& peer,
                      base::Instant sent_at,
                      std::optional<base::Duration> store_age,
                      int64_t generation);

  // Returns the state of the copy. `peers` are the current ones, `generation`
  // is that of this process. A peer with a higher generation doesn't confirm
  // this process's copy.
  FreshnessState Evaluate(base::Instant now,
                          base::Duration limit,
                          const std::vector<base::HostId>& peers,
                          int64_t generation) const;

  // Returns the latest time at which the store certainly had nothing newer than
  // `generation`, which this process has; none if there is no such time.
  std::optional<base::Instant> ConfirmedAt(int64_t generation) const;

  // Removes all peers except `peers`.
  void Retain(const std::vector<base::HostId>& peers);

 private:
  struct Peer {
    base::Instant answered_at;
    std::optional<base::Instant> store_confirmed_at;
    int64_t generation = 0;
  };

  std::optional<base::Instant> store_confirmed_at;
  std::map<base::HostId, Peer> peers;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_STALENESS_TRACKER_H_
