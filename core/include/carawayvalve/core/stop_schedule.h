#ifndef CARAWAYVALVE_CORE_STOP_SCHEDULE_H_
#define CARAWAYVALVE_CORE_STOP_SCHEDULE_H_

#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Decides which requests a process still takes after it was told to stop. The
// load balancer goes on opening connections until it has noticed, and longer if
// it has too few other processes; whatever is begun must end before the process
// does. Requests that wait in the process are like those that arrive: what
// isn't taken any more is refused while its caller still has time to go
// elsewhere.
class StopSchedule {
 public:
  // Begins the stop at `now`. The load balancer takes `balancer_delay` to
  // notice; the process ends after `time_to_end`.
  void Begin(base::Duration balancer_delay,
             base::Duration time_to_end,
             base::Instant now);

  bool begun() const { return this->end.has_value(); }
  // Returns whether a request that is answered by `deadline` at the latest is
  // taken. Until the load balancer has noticed, all are: their callers couldn't
  // have gone elsewhere.
  bool MayTake(base::Instant deadline, base::Instant now) const;
  // Returns when a request with this deadline must have its final answer,
  // unless its answer is on its way: at the deadline or, while stopping, so
  // much before the end that the caller still receives it.
  base::Instant AnswerBy(base::Instant deadline) const;
  // Returns whether the load balancer should have noticed.
  bool BalancerNoticed(base::Instant now) const;
  // Returns whether the process must end now.
  bool MustEnd(base::Instant now) const;

 private:
  base::Instant balancer_notices;
  // None unless stopping.
  std::optional<base::Instant> end;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_STOP_SCHEDULE_H_
