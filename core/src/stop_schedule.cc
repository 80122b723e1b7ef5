#include "carawayvalve/core/stop_schedule.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

// The time that a caller has to receive its final answer.
constexpr base::Milliseconds kAnswerTime(300);

}  // namespace

void StopSchedule::Begin(base::Duration balancer_delay,
                         base::Duration time_to_end,
                         base::Instant now) {
  this->balancer_notices = now + balancer_delay;
  this->end = now + time_to_end;
}

bool StopSchedule::MayTake(base::Instant deadline, base::Instant now) const {
  return !this->begun() || !this->BalancerNoticed(now) ||
         deadline <= *this->end;
}

base::Instant StopSchedule::AnswerBy(base::Instant deadline) const {
  return this->begun() ? std::min(deadline, *this->end - kAnswerTime)
                       : deadline;
}

bool StopSchedule::BalancerNoticed(base::Instant now) const {
  return this->begun() && now >= this->balancer_notices;
}

bool StopSchedule::MustEnd(base::Instant now) const {
  return this->begun() && now >= *this->end;
}

}  // namespace carawayvalve::core
