#ifndef CARAWAYVALVE_NET_SRC_SEND_STATE_H_
#define CARAWAYVALVE_NET_SRC_SEND_STATE_H_

#include <cstddef>
#include <optional>

namespace carawayvalve::net::detail {

// What the system reports of the data that was written to a connection.
struct SendState {
  // Bytes that the peer hasn't acknowledged, sent or not.
  size_t queued_bytes = 0;

  bool operator==(const SendState&) const = default;
};

// Reads the state of a connected TCP socket. Returns nothing where the system
// doesn't keep account of it.
std::optional<SendState> ReadSendState(int socket);

}  // namespace carawayvalve::net::detail

#endif  // CARAWAYVALVE_NET_SRC_SEND_STATE_H_
