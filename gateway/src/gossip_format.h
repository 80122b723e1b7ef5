#ifndef CARAWAYVALVE_GATEWAY_SRC_GOSSIP_FORMAT_H_
#define CARAWAYVALVE_GATEWAY_SRC_GOSSIP_FORMAT_H_

#include <optional>
#include <string>

#include "gateway_state.h"
#include "gossip_types.h"

namespace carawayvalve::gateway {

// Returns the message as a datagram.
std::string PrintGossip(const wire::gen::Gossip& gossip);

// Parses a datagram. Returns nothing when it isn't a message.
std::optional<wire::gen::Gossip> ParseGossip(const std::string& datagram);

// Puts the newest stamp received from the run `boot` of the receiver into a
// message.
void SetEcho(wire::gen::Gossip& gossip, const std::string& boot, int64_t stamp);

// Returns when this process sent the stamp that a message returns: the sender's
// message is later. Nothing if this process didn't make it.
std::optional<base::Instant> EchoSentAt(const wire::gen::Gossip& gossip,
                                        const GatewayState& state,
                                        base::Instant now);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_GOSSIP_FORMAT_H_
