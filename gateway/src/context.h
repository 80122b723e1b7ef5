#ifndef CARAWAYVALVE_GATEWAY_SRC_CONTEXT_H_
#define CARAWAYVALVE_GATEWAY_SRC_CONTEXT_H_

#include <functional>
#include <random>
#include <vector>

#include "carawayvalve/base/journal.h"
#include "carawayvalve/net/event_loop.h"
#include "carawayvalve/net/http_client.h"
#include "gateway_metrics.h"
#include "gateway_state.h"
#include "waiting_room.h"

namespace carawayvalve::gateway {

// A prompt that was sent to an engine, or read by it, since the last word to
// the peers.
struct SentPrefix {
  base::BackendServerId backend_server;
  std::vector<core::PrefixKey> keys;
  bool read = false;
};

// What the parts of a gateway share. Lives as long as the process.
struct Context {
  net::EventLoop& loop;
  GatewayState& state;
  base::Journal& journal;
  GatewayMetrics& metrics;
  net::HttpClient& backends;
  WaitingRoom& waiting;
  std::mt19937_64& generator;
  std::vector<SentPrefix>& sent_prefixes;
  // Called when what this gateway has under way has changed.
  std::function<void()>& on_load_changed;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_CONTEXT_H_
