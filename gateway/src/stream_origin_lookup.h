#ifndef CARAWAYVALVE_GATEWAY_SRC_STREAM_ORIGIN_LOOKUP_H_
#define CARAWAYVALVE_GATEWAY_SRC_STREAM_ORIGIN_LOOKUP_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/net/event_loop.h"
#include "gateway_state.h"

namespace carawayvalve::gateway {

// Finds out which software version began a stream that a caller takes up. What
// this gateway doesn't know, it asks those that keep the stream's origin, then
// all peers.
class StreamOriginLookup {
 public:
  // Gets the version, nothing if no peer told it in time.
  using Handler = std::function<void(const std::optional<std::string>&)>;
  // Asks the peers that keep the origin, or all of them.
  using Ask = std::function<void(const base::RequestId& first, bool all)>;

  StreamOriginLookup(net::EventLoop& loop, const GatewayState& state)
      : loop(loop), state(state) {}

  void SetAsk(Ask ask_peers) { this->ask = std::move(ask_peers); }

  // Calls the handler once, at once if the version is known.
  void Find(const base::RequestId& first, Handler handler);
  // Must be called when the origin of the stream has been learnt.
  void NoteLearned(const base::RequestId& first);

 private:
  struct Search {
    std::unique_ptr<net::Timer> timer;
    std::vector<Handler> handlers;
  };

  void AskAll(const base::RequestId& first);
  void End(const base::RequestId& first);

  net::EventLoop& loop;
  const GatewayState& state;
  Ask ask = [](const base::RequestId&, bool) {};
  std::map<base::RequestId, Search> searches;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_STREAM_ORIGIN_LOOKUP_H_
