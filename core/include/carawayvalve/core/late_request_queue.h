#ifndef CARAWAYVALVE_CORE_LATE_REQUEST_QUEUE_H_
#define CARAWAYVALVE_CORE_LATE_REQUEST_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Queue of requests that can't meet their objective any more. They wait at the
// gateway rather than at an engine, where they would delay requests that still
// can: after a burst, or when all callers retry after an outage, engines would
// otherwise prefill the late requests first and make the others late too.
class LateRequestQueue {
 public:
  using Ticket = int64_t;

  // A lower number is more urgent.
  Ticket Add(int64_t priority, base::Instant deadline);
  void Remove(Ticket ticket);

  // Returns the tickets in serving order: the most urgent priority first, then
  // the earliest deadline.
  std::vector<Ticket> InOrder() const;
  size_t size() const { return this->keys.size(); }

 private:
  struct Key {
    int64_t priority = 0;
    base::Instant deadline;
    Ticket ticket = 0;

    auto operator<=>(const Key&) const = default;
  };

  std::map<Key, Ticket> order;
  std::map<Ticket, Key> keys;
  Ticket last_ticket = 0;
};

// Returns whether a late request may be sent to an engine with this much work
// ahead: little enough that requests which are on time aren't delayed
// noticeably.
bool MayServeLate(base::Duration work_ahead);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_LATE_REQUEST_QUEUE_H_
