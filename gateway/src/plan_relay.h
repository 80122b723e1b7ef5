#ifndef CARAWAYVALVE_GATEWAY_SRC_PLAN_RELAY_H_
#define CARAWAYVALVE_GATEWAY_SRC_PLAN_RELAY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "carawayvalve/net/http_client.h"
#include "context.h"
#include "gossip_types.h"
#include "store_feed.h"
#include "timed_call.h"

namespace carawayvalve::gateway {

// Passes the configuration on between gateways. One that hears of a newer
// version asks the peer for the changes since its own, and for all of it if the
// peer doesn't have them.
class PlanRelay {
 public:
  PlanRelay(Context& context, StoreFeed& feed);

  // Adds the version of the configuration known here, and how fresh it is.
  void AddTo(wire::gen::Gossip& gossip) const;
  // Applies what a peer says of its configuration; asks the peer, whose calls
  // go to `address`, for one that is newer.
  void Apply(const wire::gen::Gossip& gossip, const base::Address& address);
  // Returns the answer to a peer's request, or nothing if it isn't for the
  // configuration, or for one that isn't known here.
  std::optional<net::Response> Answer(const net::Request& request);

 private:
  // Why a peer is asked, and for what.
  struct Question {
    std::string peer;
    base::Address address;
    // The peer's version.
    int64_t version = 0;
    // The version whose changes are asked for; empty for all of the
    // configuration.
    std::optional<int64_t> after;
  };

  void NoteSameVersion(const wire::gen::Gossip& gossip);
  void Fetch(const Question& question);
  void OnFetched(const Question& question, const TimedCall::Result& result);
  // Returns why the answer can't be used; empty if it was.
  std::string Apply(const Question& question, const TimedCall::Result& result);
  // Throws base::Error when the changes aren't ones of the configuration known
  // here.
  void ApplyChanges(const nlohmann::json& encoded);
  // Returns the changes after a version, or all of the configuration; nothing
  // if the changes aren't known.
  std::optional<std::string> TextAfter(std::optional<int64_t> after) const;

  Context& context;
  StoreFeed& feed;
  net::HttpClient client;
  std::shared_ptr<TimedCall> call;
  // Peers that failed to answer aren't asked again before these times.
  std::map<std::string, base::Instant> next_fetch;
  // Compressed answers with the present version, by the version after which
  // they are; all of the configuration is after nothing.
  std::map<std::optional<int64_t>, std::string> encoded;
  int64_t encoded_version = 0;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_PLAN_RELAY_H_
