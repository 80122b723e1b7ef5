#ifndef CARAWAYVALVE_WIRE_LIMITS_H_
#define CARAWAYVALVE_WIRE_LIMITS_H_

#include <cstdint>

namespace carawayvalve::wire {

// The longest message between two processes of the system, in bytes. A sender
// refuses a longer one; a receiver closes the connection.
inline constexpr uint32_t kMaxMessageBytes = 16 * 1024 * 1024;

// The elements that all lists, sets and maps of one message may have together.
// Each needs up to some hundred bytes of memory, whatever it needs in the
// message.
inline constexpr uint64_t kMaxMessageElements = 256 * 1024;

// Connections that a server serves at a time; further ones wait to be accepted.
inline constexpr int64_t kMaxConnections = 1024;

}  // namespace carawayvalve::wire

#endif  // CARAWAYVALVE_WIRE_LIMITS_H_
