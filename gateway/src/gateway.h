#ifndef CARAWAYVALVE_GATEWAY_SRC_GATEWAY_H_
#define CARAWAYVALVE_GATEWAY_SRC_GATEWAY_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "carawayvalve/net/http_server.h"
#include "carawayvalve/platform/objects.h"
#include "context.h"
#include "crash_store.h"
#include "duty_holder.h"
#include "listener.h"
#include "peer_gossip.h"
#include "recent_store.h"
#include "store_feed.h"

namespace carawayvalve::gateway {

// A gateway process: its listeners, its feeds and its timers.
class Gateway {
 public:
  explicit Gateway(std::string settings_path);

  // Serves until a stop is requested and has completed.
  void Run();

 private:
  // Opens the listeners. The metrics' one isn't needed for service.
  void Listen();
  std::unique_ptr<net::HttpServer> OpenServer(const base::Address& address,
                                              net::HttpServer::Handler handler);
  // Begins to use the store and to talk to peers once all listeners that are
  // needed for service are open: before, another process may still run with
  // this one's name.
  void JoinWhenListening();
  void Join();
  void OnSignal(int number);
  void Reload();
  void Tick();
  // The part of Tick that needs the store and the peers.
  void TickJoined();
  void BeginStop();
  void Stop();
  void FinishStop();
  void OnRequest(const std::shared_ptr<net::Exchange>& exchange);
  void OnReadiness(const std::shared_ptr<net::Exchange>& exchange);
  void OnMetrics(const std::shared_ptr<net::Exchange>& exchange);
  bool Ready() const;
  // Answers an operator who asks where a request would go.
  void Explain(net::Exchange& exchange) const;
  std::string Dump();

  std::string settings_path;
  net::EventLoop loop;
  GatewaySettings settings;
  std::shared_ptr<base::ByteBudget> buffers;
  std::shared_ptr<base::ByteBudget> answers;
  base::Journal journal;
  GatewayMetrics metrics;
  GatewayState state;
  std::mt19937_64 generator;
  std::vector<SentPrefix> sent_prefixes;
  std::function<void()> on_load_changed = [] {};
  std::function<void()> on_urgent_news = [] {};
  std::function<void(int64_t)> on_store_era = [](int64_t) {};
  net::HttpClient backends;
  LateRequestScheduler waiting;
  StreamOriginLookup origin_lookup;
  AccountLimits account_limits;
  LiveRequests live_requests;
  platform::ObjectClient objects;
  Context context;
  StoreFeed feed;
  PeerGossip peers;
  RecentStore recent;
  CrashStore crashes;
  DutyHolder duties;
  std::unique_ptr<net::HttpServer> callers;
  std::unique_ptr<net::HttpServer> readiness;
  std::unique_ptr<net::HttpServer> metrics_server;
  Listener callers_listener;
  Listener readiness_listener;
  Listener metrics_listener;
  Listener peers_listener;
  net::Timer tick_timer;
  net::Timer stop_timer;
  int64_t plan_version = 0;
  // The usage window at the last tick.
  int64_t current_window = 0;
  bool was_ready = false;
  bool joined = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_GATEWAY_H_
