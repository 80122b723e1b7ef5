#ifndef CARAWAYVALVE_GATEWAY_SRC_ORIGIN_GOSSIP_H_
#define CARAWAYVALVE_GATEWAY_SRC_ORIGIN_GOSSIP_H_

#include <map>
#include <optional>
#include <vector>

#include "context.h"
#include "gossip_types.h"

namespace carawayvalve::gateway {

// The part of the gossip that tells which software version began each stream:
// to the gateways that keep it, and to those that ask.
class OriginGossip {
 public:
  using Origins = std::vector<wire::gen::GossipStreamOrigin>;

  explicit OriginGossip(Context& context) : context(context) {}

  // Returns the origins that each gateway is to be told now.
  std::map<base::HostId, Origins> TakeUntold();
  // Returns whether the gateway keeps the origin of the stream.
  bool IsKeeper(const base::RequestId& first, const base::HostId& host) const;
  // Returns the answer to a peer that wants to know origins, nothing if none is
  // known; `base` holds what the answer says besides.
  std::optional<wire::gen::Gossip> Answer(const wire::gen::Gossip& question,
                                          const wire::gen::Gossip& base) const;
  // Returns messages with the origins of recent streams.
  std::vector<wire::gen::Gossip> MessagesForNewPeer(
      const wire::gen::Gossip& base) const;
  // Records what a peer tells.
  void Apply(const wire::gen::Gossip& gossip, base::Instant now);

 private:
  Context& context;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_ORIGIN_GOSSIP_H_
