#ifndef CARAWAYVALVE_GATEWAY_SRC_CONTEXT_H_
#define CARAWAYVALVE_GATEWAY_SRC_CONTEXT_H_

#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "account_limits.h"
#include "carawayvalve/base/byte_budget.h"
#include "carawayvalve/base/journal.h"
#include "carawayvalve/net/event_loop.h"
#include "carawayvalve/net/http_client.h"
#include "carawayvalve/platform/objects.h"
#include "carawayvalve/platform/requests.h"
#include "gateway_metrics.h"
#include "gateway_state.h"
#include "late_request_scheduler.h"
#include "live_requests.h"
#include "stream_origin_lookup.h"

namespace carawayvalve::gateway {

// A prompt that an engine was sent or has prefilled since the last gossip
// message to the peers.
struct SentPrefix {
  base::BackendServerId backend_server;
  std::vector<core::PrefixKey> keys;
  bool prefilled = false;
};

// Objects that the parts of a gateway share. They live as long as the process.
struct Context {
  net::EventLoop& loop;
  GatewayState& state;
  base::Journal& journal;
  GatewayMetrics& metrics;
  net::HttpClient& backends;
  LateRequestScheduler& late_requests;
  std::mt19937_64& generator;
  std::vector<SentPrefix>& sent_prefixes;
  // Called when the load that this gateway puts on backend servers changes.
  std::function<void()>& on_load_changed;
  // Called when this gateway has learned what its peers must know at once: that
  // a backend server leaves, or what ran when one crashed.
  std::function<void()>& on_urgent_news;
  StreamOriginLookup& origin_lookup;
  AccountLimits& account_limits;
  LiveRequests& live_requests;
  // What requests and answers may hold together.
  const std::shared_ptr<base::ByteBudget>& buffers;
  // What the answers that are read as a whole, of the store, the platform,
  // engines and peers, may hold together.
  const std::shared_ptr<base::ByteBudget>& answers;
  // Called when the store is known to be of a later era.
  std::function<void(int64_t era)>& on_store_era;

  // Records that the store's object of a kind has a value that can't be read.
  void NoteUnreadable(const std::string& kind,
                      const platform::StoredObject& object);
  // Records that an object of a kind, from the store or a peer, isn't an entry
  // of it. Each is logged once, as `event`, until NoteReadable, and with
  // NoteUnreadable in common.
  void NoteOddEntry(const char* event,
                    const std::string& kind,
                    const std::string& name,
                    const std::string& reason);
  // Records that an object can be read, or is gone.
  void NoteReadable(const std::string& kind, const std::string& name) {
    this->state.unreadable_entries.Forget(kind, name);
  }
  // Records that a request of this kind, such as "attempt", is sent to a
  // backend server.
  void NoteBackendRequest(const base::BackendServerId& id, const char* kind);
  // Records that an answer arrived on the connection of a request of this kind,
  // such as "attempt", that isn't the one to it. `request` is empty for calls
  // of the gateway itself.
  void NoteSkippedAnswer(const core::BackendEntry& backend,
                         const char* kind,
                         const base::RequestId& request,
                         int64_t connection,
                         const net::CallSkipped& skipped);
  // Applies what the head of a backend server's answer to a request that was
  // sent at `sent` says of that server. Returns the decoded head.
  platform::BackendHead NoteBackendHead(const core::BackendEntry& backend,
                                        const net::ResponseHead& head,
                                        base::Instant sent);
  // Applies what a backend server has said of the rate of its requests;
  // `source` is "answer", or the peer that told it.
  void NoteBackendRate(const core::BackendRateStatement& statement,
                       const std::string& source);
  // Records that a backend server sends events of a stream. Callers may take
  // the stream up within `horizon`.
  void NoteStream(const core::StreamOrigin& origin,
                  const base::ServiceId& service,
                  base::Duration horizon);
  // Records the store's era, as `source`, the store or a peer, says it.
  void NoteStoreEra(int64_t era, const std::string& source);
  // Records that a backend server crashed or restarted; `sign` says how that
  // was noticed.
  void NoteBackendCrash(const base::BackendServerId& id, const char* sign);
  // Connects to a backend server whose answer broke off: a crashed one refuses.
  void ProbeBackend(const core::BackendEntry& backend);
  // Logs the parts that came under quarantine or left it since the last call.
  void LogPoisonParts();
  // Applies an observation of a backend server's speed.
  void NoteSpeed(const core::BackendEntry& backend,
                 const core::SpeedObservation& observed);
  // Places requests by the speeds that are now estimated of a service. `source`
  // is "observations", or who told them.
  void UseSpeeds(const base::ServiceId& service, const char* source);
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_CONTEXT_H_
