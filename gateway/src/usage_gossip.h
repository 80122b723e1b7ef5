#ifndef CARAWAYVALVE_GATEWAY_SRC_USAGE_GOSSIP_H_
#define CARAWAYVALVE_GATEWAY_SRC_USAGE_GOSSIP_H_

#include <vector>

#include "carawayvalve/core/usage_changes.h"
#include "context.h"
#include "gossip_types.h"

namespace carawayvalve::gateway {

// The part of the gossip that tells the usage which gateways have counted in
// the windows that aren't sealed yet. In all methods `base` holds what each
// message says besides.
class UsageGossip {
 public:
  explicit UsageGossip(Context& context);

  // Returns messages with this gateway's counts, or with those of all gateways,
  // stopped ones included.
  std::vector<wire::gen::Gossip> Messages(bool all_sources,
                                          const wire::gen::Gossip& base) const;
  // Returns messages with this gateway's counts that changed lately.
  std::vector<wire::gen::Gossip> TakeChanges(const wire::gen::Gossip& base);
  // Merges the counts that a peer tells.
  void Apply(const wire::gen::Gossip& gossip);

 private:
  std::vector<core::WindowCountsPart> RecentCounts(bool all_sources) const;

  Context& context;
  core::UsageChanges changes;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_USAGE_GOSSIP_H_
