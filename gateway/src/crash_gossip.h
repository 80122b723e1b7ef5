#ifndef CARAWAYVALVE_GATEWAY_SRC_CRASH_GOSSIP_H_
#define CARAWAYVALVE_GATEWAY_SRC_CRASH_GOSSIP_H_

#include <vector>

#include "context.h"
#include "gossip_types.h"

namespace carawayvalve::gateway {

// The part of the gossip that tells which contents ran during crashes of
// backend servers, and which of their parts were served since.
class CrashGossip {
 public:
  explicit CrashGossip(Context& context) : context(context) {}

  // Adds the recent evidence of this gateway, or that of all gateways and all
  // ages. What doesn't fit takes turns.
  void AddTo(wire::gen::Gossip& gossip, bool include_old);
  // Returns messages with all evidence; `base` holds what each of them says
  // besides.
  std::vector<wire::gen::Gossip> MessagesForNewPeer(
      const wire::gen::Gossip& base) const;
  // Merges the evidence of a peer.
  void Apply(const wire::gen::Gossip& gossip, base::Instant now);

 private:
  Context& context;
  // The crash record to send next, counted over all messages.
  size_t next_crash = 0;
  // The same of the served parts.
  size_t next_served_part = 0;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_CRASH_GOSSIP_H_
