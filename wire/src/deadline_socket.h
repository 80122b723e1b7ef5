#ifndef CARAWAYVALVE_WIRE_SRC_DEADLINE_SOCKET_H_
#define CARAWAYVALVE_WIRE_SRC_DEADLINE_SOCKET_H_

#include <thrift/transport/TSocket.h>

#include <cstddef>
#include <cstdint>
#include <optional>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/transfer_progress.h"

namespace carawayvalve::wire::detail {

// A client socket whose operations all end by one deadline. Thrift's own
// timeout restarts with every byte that arrives.
class DeadlineSocket : public apache::thrift::transport::TSocket {
 public:
  explicit DeadlineSocket(const base::Address& peer);

  // Applies to all following operations.
  void SetDeadline(base::Instant deadline);
  // The same for one call with an answer of any size: once a part of it has
  // arrived, it is waited for as core::TransferProgress says, in further
  // periods.
  void SetTransfer(base::Instant deadline, base::Duration period);

  // Returns whether the peer has closed the connection or sent bytes that
  // haven't been read. Doesn't block.
  bool IsClosedOrReadable();

  // Throw TTransportException when the deadline passes.
  void open() override;
  uint32_t read(uint8_t* buffer, uint32_t count) override;
  uint32_t write_partial(const uint8_t* buffer, uint32_t count) override;

 private:
  int RemainingMs();
  // Moves the deadline if the answer is coming on. Returns whether it is.
  bool BeginNextPeriod();

  base::Instant deadline;
  // Only during a transfer.
  std::optional<base::Duration> period;
  core::TransferProgress progress;
  size_t received_bytes = 0;
};

}  // namespace carawayvalve::wire::detail

#endif  // CARAWAYVALVE_WIRE_SRC_DEADLINE_SOCKET_H_
