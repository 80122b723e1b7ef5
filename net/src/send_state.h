#ifndef CARAWAYVALVE_NET_SRC_SEND_STATE_H_
#define CARAWAYVALVE_NET_SRC_SEND_STATE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "carawayvalve/base/time.h"

namespace carawayvalve::net::detail {

// A peer that acknowledges nothing for this long counts as disconnected. Lost
// packets are retransmitted several times within it.
inline constexpr base::Milliseconds kMaxSilence(2500);

// What the system reports of the data that was written to a connection.
struct SendState {
  // Bytes that the peer hasn't acknowledged, sent or not.
  size_t queued_bytes = 0;
  // Data or window probes were sent that the peer hasn't acknowledged. A peer
  // that doesn't read acknowledges the probes of its closed window.
  bool awaits_ack = false;
  // Time since the peer's last acknowledgement of anything.
  base::Duration since_ack{};
  uint64_t acknowledged_bytes = 0;

  bool operator==(const SendState&) const = default;
};

// Reads the state of a connected TCP socket. Returns nothing where the system
// doesn't keep account of it.
std::optional<SendState> ReadSendState(int socket);

// Bounds the time between two window probes and between two retransmissions, so
// that a live peer acknowledges something within kMaxSilence. Ignores errors:
// systems without such a bound notice a silent peer later.
void LimitProbeInterval(int socket);

// Has the system fail the connection when written data isn't acknowledged for
// kMaxSilence. It fails that of a peer that pauses reading too, even if that
// peer acknowledges window probes.
void SetUserTimeout(int socket);

// Tells a peer that acknowledges nothing from one that reads slowly, from
// successive states of its connection.
class AcknowledgementTimer {
 public:
  // Returns whether the peer has acknowledged nothing for kMaxSilence although
  // it was due to. Called at least once a second while data is unacknowledged;
  // a longer pause of the caller starts the time anew.
  bool IsOverdue(const SendState& state, base::Instant now);

 private:
  // Since when an acknowledgement has been due in all states.
  std::optional<base::Instant> due_since;
  base::Instant last_state_at;
};

}  // namespace carawayvalve::net::detail

#endif  // CARAWAYVALVE_NET_SRC_SEND_STATE_H_
