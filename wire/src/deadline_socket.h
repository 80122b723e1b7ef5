#ifndef CARAWAYVALVE_WIRE_SRC_DEADLINE_SOCKET_H_
#define CARAWAYVALVE_WIRE_SRC_DEADLINE_SOCKET_H_

#include <thrift/transport/TSocket.h>

#include <cstdint>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::wire::detail {

// A client socket whose operations all end by one deadline. Thrift's own
// timeout restarts with every byte that arrives.
class DeadlineSocket : public apache::thrift::transport::TSocket {
 public:
  explicit DeadlineSocket(const base::Address& peer);

  // Applies to all following operations.
  void SetDeadline(base::Instant deadline);

  // Returns whether the peer has closed the connection or sent bytes that
  // haven't been read. Doesn't block.
  bool IsClosedOrReadable();

  // Throw TTransportException when the deadline passes.
  void open() override;
  uint32_t read(uint8_t* buffer, uint32_t count) override;
  uint32_t write_partial(const uint8_t* buffer, uint32_t count) override;

 private:
  int RemainingMs() const;

  base::Instant deadline;
};

}  // namespace carawayvalve::wire::detail

#endif  // CARAWAYVALVE_WIRE_SRC_DEADLINE_SOCKET_H_
