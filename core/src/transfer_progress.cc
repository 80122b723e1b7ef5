#include "carawayvalve/core/transfer_progress.h"

#include <chrono>
#include <utility>

namespace carawayvalve::core {

bool TransferProgress::Continues(size_t received_bytes, base::Duration period) {
  // A busy process may not have handled what has arrived.
  if (!this->begun) {
    this->Begin(received_bytes);
    return received_bytes > 0;
  }
  ++this->periods;
  const size_t before = std::exchange(this->received, received_bytes);
  const double seconds = std::chrono::duration<double>(period).count();
  return this->periods < kMaxTransferPeriods && received_bytes > before &&
         static_cast<double>(received_bytes - before) >=
             static_cast<double>(kMinTransferRate) * seconds;
}

}  // namespace carawayvalve::core
