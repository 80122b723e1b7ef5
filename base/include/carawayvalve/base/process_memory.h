#ifndef CARAWAYVALVE_BASE_PROCESS_MEMORY_H_
#define CARAWAYVALVE_BASE_PROCESS_MEMORY_H_

#include <cstdint>

namespace carawayvalve::base {

// Returns the resident memory of this process in bytes, by the kernel's
// figures; 0 if they can't be read.
int64_t ResidentBytes();

// Has large blocks returned to the system as soon as they are freed, from now
// on. By default glibc keeps blocks of up to 32 MB once one of their size was
// freed, between which buffers that grow side by side leave gaps.
void ReturnLargeBlocks();

}  // namespace carawayvalve::base

#endif  // CARAWAYVALVE_BASE_PROCESS_MEMORY_H_
