#ifndef CARAWAYVALVE_BASE_STOP_SIGNAL_H_
#define CARAWAYVALVE_BASE_STOP_SIGNAL_H_

namespace carawayvalve::base {

// Blocks SIGTERM and SIGINT in this thread and the threads it starts later, and
// ignores SIGPIPE. Must be called before any other thread is started.
void BlockStopSignals();

// Blocks until the process receives SIGTERM or SIGINT.
void WaitForStopSignal();

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_STOP_SIGNAL_H_
