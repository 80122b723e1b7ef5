#ifndef CARAWAYVALVE_GATEWAY_SRC_REGISTRY_RELAY_H_
#define CARAWAYVALVE_GATEWAY_SRC_REGISTRY_RELAY_H_

#include <memory>
#include <optional>
#include <string>

#include "carawayvalve/net/http_client.h"
#include "context.h"
#include "gossip_types.h"
#include "store_feed.h"
#include "timed_call.h"

namespace carawayvalve::gateway {

// Passes changes of the registered backend servers on between gateways, so that
// few of them have to ask the store. Gossip says which revision each one has
// and how long ago the store confirmed it; whoever lacks changes fetches them
// from a peer.
class RegistryRelay {
 public:
  RegistryRelay(Context& context, StoreFeed& feed);

  // Adds how long ago the list of backend servers was confirmed.
  void AddTo(wire::gen::Gossip& gossip) const;
  // Applies that, and fetches changes from the peer at `address` if they are
  // missing here and no call is pending that would return them.
  void Apply(const wire::gen::Gossip& gossip, const base::Address& address);

  // Returns the answer to a peer's request, nothing if it isn't one for changes
  // or they are no longer known.
  std::optional<std::string> Answer(const std::string& target) const;

 private:
  void Fetch(const base::Address& address);
  void OnFetched(const TimedCall::Result& result);

  Context& context;
  StoreFeed& feed;
  net::HttpClient client;
  // The call in flight, if any.
  std::shared_ptr<TimedCall> call;
  // No call is made before this instant.
  base::Instant next_fetch;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_REGISTRY_RELAY_H_
