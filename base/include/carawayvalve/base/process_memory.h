#ifndef CARAWAYVALVE_BASE_PROCESS_MEMORY_H_
#define CARAWAYVALVE_BASE_PROCESS_MEMORY_H_

#include <cstdint>

namespace carawayvalve::base {

// Returns the resident memory of this process in bytes, by the kernel's
// figures; 0 if they can't be read.
int64_t ResidentBytes();

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_PROCESS_MEMORY_H_
