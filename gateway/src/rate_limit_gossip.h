#ifndef CARAWAYVALVE_GATEWAY_SRC_RATE_LIMIT_GOSSIP_H_
#define CARAWAYVALVE_GATEWAY_SRC_RATE_LIMIT_GOSSIP_H_

#include "context.h"
#include "gossip_types.h"

namespace carawayvalve::gateway {

// The part of the gossip that tells what backend servers have said of the rate
// of their requests.
class RateLimitGossip {
 public:
  explicit RateLimitGossip(Context& context) : context(context) {}

  // Adds what is new, and at intervals all of it. What doesn't fit takes turns.
  void AddTo(wire::gen::Gossip& gossip);
  // Applies what a peer has heard of backend servers.
  void Apply(const wire::gen::Gossip& gossip, base::Instant now);

 private:
  Context& context;
  // The statement to send next, counted over all messages.
  size_t next_statement = 0;
  base::Instant all_sent_at;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_RATE_LIMIT_GOSSIP_H_
