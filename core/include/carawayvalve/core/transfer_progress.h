#ifndef CARAWAYVALVE_CORE_TRANSFER_PROGRESS_H_
#define CARAWAYVALVE_CORE_TRANSFER_PROGRESS_H_

#include <cstddef>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Bytes a second below which a transfer counts as stalled: a fortieth of a link
// of 10 Mbit/s.
inline constexpr size_t kMinTransferRate = size_t{32} * 1024;
// Periods that an answer takes at most once it has begun: with one of a second,
// a megabyte at that rate.
inline constexpr int kMaxTransferPeriods = 32;

// Decides how long an answer of any size is waited for: not longer than a
// period without progress. An answer that was abandoned while it arrived would
// have to be sent again from its beginning.
class TransferProgress {
 public:
  // Records that the answer has begun. A first period begins.
  void Begin(size_t received_bytes) {
    this->begun = true;
    this->received = received_bytes;
  }
  // Called at the end of each period, with the bytes received since the call
  // began. Returns whether the answer is waited for during another one.
  bool Continues(size_t received_bytes, base::Duration period);

 private:
  bool begun = false;
  size_t received = 0;
  int periods = 0;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_TRANSFER_PROGRESS_H_
