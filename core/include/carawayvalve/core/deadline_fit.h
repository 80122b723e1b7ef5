#ifndef CARAWAYVALVE_CORE_DEADLINE_FIT_H_
#define CARAWAYVALVE_CORE_DEADLINE_FIT_H_

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// A request with less time left isn't sent to a backend server.
inline constexpr base::Milliseconds kMinTimeLeft{20};

// Returns whether an answer that is expected to begin after `expected` ends
// within the time that is left. The margin grows with the estimate, which may
// be too short and leaves out what follows the first event.
bool FitsDeadline(base::Duration expected, base::Duration time_left);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_DEADLINE_FIT_H_
