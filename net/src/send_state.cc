#include "send_state.h"

// Not <netinet/tcp.h>, whose tcp_info lacks most counters.
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace carawayvalve::net::detail {

namespace {

// A longer time between two states tells nothing of the peer: this process, or
// its host, was suspended.
constexpr base::Milliseconds kMaxStateInterval(1000);
// The Linux option TCP_RTO_MAX_MS, which the headers of Debian 12 lack.
constexpr int kMaxRetransmissionTimeoutOption = 44;

}  // namespace

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
  return SendState{static_cast<size_t>(std::max(queued, 0)),
                   info.tcpi_unacked > 0 || info.tcpi_probes > 0,
                   base::Milliseconds(info.tcpi_last_ack_recv),
                   info.tcpi_bytes_acked};
}

void LimitProbeInterval(int socket) {
  // Linux also fails a connection with a closed window that acknowledges
  // nothing for two of these.
  const int limit_ms = static_cast<int>(kMaxSilence.count() / 2);
  setsockopt(socket, IPPROTO_TCP, kMaxRetransmissionTimeoutOption, &limit_ms,
             sizeof(limit_ms));
}

void SetUserTimeout(int socket) {
  const int timeout_ms = static_cast<int>(kMaxSilence.count());
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
             sizeof(timeout_ms));
}

bool AcknowledgementTimer::IsOverdue(const SendState& state,
                                     base::Instant now) {
  const bool interrupted = now - this->last_state_at > kMaxStateInterval;
  this->last_state_at = now;
  if (!state.awaits_ack) {
    this->due_since.reset();
    return false;
  }
  if (!this->due_since.has_value() || interrupted) {
    this->due_since = now;
  }
  return now - *this->due_since >= kMaxSilence &&
         state.since_ack >= kMaxSilence;
}

}  // namespace carawayvalve::net::detail
