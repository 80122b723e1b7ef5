#ifndef CARAWAYVALVE_ENTRY_SERVE_H_
#define CARAWAYVALVE_ENTRY_SERVE_H_

#include "carawayvalve/entry/settings.h"

namespace carawayvalve::entry {

// Runs an entry process until it receives a stop signal, drains the requests in
// flight and returns the exit code.
int Serve(const EntrySettings& settings);

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SERVE_H_
