#ifndef CARAWAYVALVE_GATEWAY_SRC_ACCOUNT_RATE_GOSSIP_H_
#define CARAWAYVALVE_GATEWAY_SRC_ACCOUNT_RATE_GOSSIP_H_

#include <functional>
#include <map>
#include <vector>

#include "context.h"
#include "gossip_types.h"

namespace carawayvalve::gateway {

// The messages that keep the rate limits of client accounts over all gateways:
// questions for credit, and grants. Each goes to one gateway.
class AccountRateGossip {
 public:
  // Sends a message with this content to a peer, if its address is known.
  using SendTo = std::function<void(const base::HostId&,
                                    const wire::gen::GossipAccountRates&)>;

  AccountRateGossip(Context& context, SendTo send_to);

  void Start();
  // Applies a message, and answers the questions in it.
  void Apply(const wire::gen::Gossip& gossip, base::Instant now);
  // Passes all credit to peers, as this gateway stops.
  void Leave();

 private:
  void Tick();
  // Tells core::AccountRateShares who is there.
  void NoteHosts(base::Instant now);
  void Ask(const core::AskPeers& step);
  void SendGrants(
      const std::vector<std::pair<base::HostId, core::CreditGrant>>& grants,
      base::Instant now);
  void LogStatuses(base::Instant now);

  Context& context;
  SendTo send_to;
  net::Timer timer;
  std::map<base::ClientAccountId, core::AccountRateStatus> logged;
  base::Instant logged_at;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_ACCOUNT_RATE_GOSSIP_H_
