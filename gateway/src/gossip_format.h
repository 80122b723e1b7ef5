#ifndef CARAWAYVALVE_GATEWAY_SRC_GOSSIP_FORMAT_H_
#define CARAWAYVALVE_GATEWAY_SRC_GOSSIP_FORMAT_H_

#include <optional>
#include <string>

#include "gossip_types.h"

namespace carawayvalve::gateway {

// Returns the message as a datagram.
std::string PrintGossip(const wire::gen::Gossip& gossip);

// Parses a datagram. Returns nothing when it isn't a message.
std::optional<wire::gen::Gossip> ParseGossip(const std::string& datagram);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_GOSSIP_FORMAT_H_
