#ifndef CARAWAYVALVE_CORE_REQUEST_PACER_H_
#define CARAWAYVALVE_CORE_REQUEST_PACER_H_

#include <deque>
#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Spaces the requests of one sender evenly at a rate. When the rate is set,
// what was sent shortly before counts against it, so that the sender pauses if
// it was faster.
class RequestPacer {
 public:
  // Sets the rate in requests a second, which must be positive; nothing for no
  // limit.
  void SetRate(std::optional<double> per_second, base::Instant now);
  void NoteSent(base::Instant now);

  bool MaySend(base::Instant now) const { return now >= this->next; }
  // Returns when the next request may be sent, which may have passed.
  base::Instant next_send() const { return this->next; }
  // Returns when a request may be sent that `ahead` others precede.
  base::Instant SendTimeBehind(int64_t ahead, base::Instant now) const;

 private:
  // Time between two requests; 0 for no limit.
  base::Duration interval{};
  base::Instant next;
  // When the latest requests were sent.
  std::deque<base::Instant> sent;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_REQUEST_PACER_H_
