#ifndef CARAWAYVALVE_CORE_LATE_REQUEST_QUEUE_H_
#define CARAWAYVALVE_CORE_LATE_REQUEST_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Orders requests that can't be answered on time any more. They wait at the
// gateway rather than at an engine, where they would delay requests that still
// can: after a burst, or when all callers come back after an outage, engines
// would otherwise read what is late first and make all the rest late too.
class LateRequestQueue {
 public:
  using Ticket = int64_t;

  // A less urgent priority has a higher number.
  Ticket Add(int64_t priority, base::Instant deadline);
  void Remove(Ticket ticket);

  // Returns the tickets in the order in which they are to be served: the most
  // urgent first, among these the one whose deadline comes first.
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

// Whether a request that is late anyway may be sent on: its engine has so
// little to do that nothing which comes on time will notice.
bool MayServeLate(base::Duration work_ahead);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_LATE_REQUEST_QUEUE_H_
