#include "send_state.h"

// Not <netinet/tcp.h>, whose tcp_info lacks most counters.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace carawayvalve::net::detail {

std::optional<SendState> ReadSendState(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  int queued = 0;
  const bool read =
      getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
      ioctl(socket, SIOCOUTQ, &queued) == 0;
  // Some systems know the option and leave the counters at 0. A connection has
  // received at least the segment that established it.
  if (!read || info.tcpi_segs_in == 0) {
    return std::nullopt;
  }
  return SendState{static_cast<size_t>(std::max(queued, 0))};
}

}  // namespace carawayvalve::net::detail
