#ifndef CARAWAYVALVE_GATEWAY_SRC_SPEED_GOSSIP_H_
#define CARAWAYVALVE_GATEWAY_SRC_SPEED_GOSSIP_H_

#include <cstddef>

#include "context.h"
#include "gossip_types.h"

namespace carawayvalve::gateway {

// The part of the gossip that tells how fast backend servers are.
class SpeedGossip {
 public:
  explicit SpeedGossip(Context& context) : context(context) {}

  // Adds what was observed since the last message. What doesn't fit is dropped,
  // so that each gateway receives a limited number of observations a second,
  // whatever the number of peers.
  void AddTo(wire::gen::Gossip& gossip, size_t peers);
  // Applies what a peer has observed.
  void Apply(const wire::gen::Gossip& gossip);
  // Adds what a gateway that has just started needs.
  void AddForNewPeer(wire::gen::Gossip& gossip) const;

 private:
  void Apply(const wire::gen::GossipSpeedObservation& received);

  Context& context;
  // The observations that may be sent now.
  double allowed = 0;
  base::Instant allowed_at;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_SPEED_GOSSIP_H_
