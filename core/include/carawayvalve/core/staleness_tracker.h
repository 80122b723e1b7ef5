#ifndef CARAWAYVALVE_CORE_STALENESS_TRACKER_H_
#define CARAWAYVALVE_CORE_STALENESS_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Whether a process may still trust its copy of the keys.
enum class FreshnessState {
  // The copy is no older than the limit.
  kFresh,
  // Most peers are heard and none reaches the store: nothing can be withdrawn
  // there, so the copy serves.
  kPlatformOutage,
  // Neither the store nor most peers are heard: a withdrawal can't be told
  // from silence, so no key is accepted.
  kCutOff,
};

// Follows when this process and its peers last heard from the store. All ages
// are counted from before the question was sent, so that time under way makes
// a copy look older, never newer; questions that wait for news must therefore
// wait for much less than the limit.
class StalenessTracker {
 public:
  // The store answered a question about the configuration that was sent at
  // `asked`, and this process has taken what it said.
  void NoteStoreAnswer(base::Instant asked);

  // A peer answered a question that was sent at `asked`. It has `generation`,
  // and itself or the one it copies from heard from the store `store_age`
  // before its answer; none if it never did.
  void NotePeerAnswer(const base::HostId& peer,
                base::Instant asked,
                std::optional<base::Duration> store_age,
                int64_t generation);

  // `peers` are the present ones, `generation` is that of this process. A peer
  // with a higher one says nothing about this process's copy.
  FreshnessState Evaluate(base::Instant now,
                   base::Duration limit,
                   const std::vector<base::HostId>& peers,
                   int64_t generation) const;

  // Returns when the store had certainly nothing newer than `generation`, which
  // this process has; none if that was never so.
  std::optional<base::Instant> ConfirmedAt(int64_t generation) const;

  // Forgets peers that aren't present any more.
  void Retain(const std::vector<base::HostId>& peers);

 private:
  struct Peer {
    base::Instant heard;
    std::optional<base::Instant> store_heard;
    int64_t generation = 0;
  };

  std::optional<base::Instant> store_heard;
  std::map<base::HostId, Peer> peers;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_STALENESS_TRACKER_H_
