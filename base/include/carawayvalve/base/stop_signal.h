#ifndef CARAWAYVALVE_BASE_STOP_SIGNAL_H_
#define CARAWAYVALVE_BASE_STOP_SIGNAL_H_

#include "carawayvalve/base/time.h"

namespace carawayvalve::base {

// Blocks SIGTERM and SIGINT in this thread and the threads it starts later, and
// ignores SIGPIPE. Must be called before any other thread is started.
void BlockStopSignals();

// Blocks until the process receives SIGTERM or SIGINT.
void WaitForStopSignal();

// The same for at most `timeout`. Returns whether it received one.
bool WaitForStopSignal(Milliseconds timeout);

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_STOP_SIGNAL_H_
