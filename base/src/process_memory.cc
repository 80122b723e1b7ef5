#include "carawayvalve/base/process_memory.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace carawayvalve::base {

namespace {

constexpr int kLargeBlockBytes = 256 * 1024;

}  // namespace

int64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return statm ? resident_pages * sysconf(_SC_PAGESIZE) : 0;
}

void ReturnLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

}  // namespace carawayvalve::base
