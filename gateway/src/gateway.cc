#include "gateway.h"

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/base/process_memory.h"
#include "carawayvalve/gateway/gateway.h"
#include "explanation.h"
#include "request_handler.h"

namespace carawayvalve::gateway {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// How long an idle connection is kept to a backend server that doesn't specify
// a keep-alive time.
constexpr std::chrono::seconds kBackendKeepAlive(8);
// The interval at which the lease, expired entries and readiness are checked.
constexpr base::Milliseconds kTickInterval(200);
// The load balancer opens new connections until two of its readiness probes,
// which it sends once a second, have failed.
constexpr base::Milliseconds kBalancerDrainTime(2600);
// The interval between two checks for open connections while stopping, so that
// a request that arrives just before its connection is closed is still
// answered.
constexpr base::Milliseconds kStopInterval(50);
// A connection that is opened while stopping has this long to send a request.
constexpr base::Milliseconds kStopSilence(200);
// Connections still open this long before the platform kills the process are
// aborted.
constexpr base::Milliseconds kStopMargin(250);
// Requests and answers may hold this part of the memory. A buffer is copied
// while it grows and while it is sent, and the rest of a gateway needs a
// quarter.
constexpr size_t kBufferDivisor = 8;
// The same of answers that are read as a whole. Their parsed forms need several
// times as much.
constexpr size_t kAnswerDivisor = 16;
// The number of usage windows that are kept in memory.
constexpr int64_t kWindowsKept = 8;

base::Duration TimeOfDay() {
  return std::chrono::system_clock::now().time_since_epoch();
}

}  // namespace

Gateway::Gateway(std::string path)
    : settings_path(std::move(path)),
      settings(ReadGatewaySettingsFile(this->settings_path)),
      buffers(std::make_shared<base::ByteBudget>(settings.memory_bytes /
                                                 kBufferDivisor)),
      answers(std::make_shared<base::ByteBudget>(settings.memory_bytes /
                                                 kAnswerDivisor)),
      journal(settings.log, STDOUT_FILENO),
      state(settings),
      generator(std::random_device()()),
      backends(this->loop, kBackendKeepAlive),
      waiting(this->loop),
      origin_lookup(this->loop, this->state),
      account_limits(this->loop, this->state.account_rates),
      objects(this->loop, settings.store.address, settings.store.call_timeout),
      context{this->loop,           this->state,         this->journal,
              this->metrics,        this->backends,      this->waiting,
              this->generator,      this->sent_prefixes, this->on_load_changed,
              this->on_urgent_news, this->origin_lookup, this->account_limits,
              this->live_requests,  this->buffers,       this->answers,
              this->on_store_era},
      feed(this->context, this->objects),
      peers(this->context, this->objects, this->feed),
      recent(this->context, this->objects, this->feed),
      crashes(this->context, this->objects),
      duties(this->context, this->objects, this->recent),
      callers_listener(this->loop, this->journal),
      readiness_listener(this->loop, this->journal),
      metrics_listener(this->loop, this->journal),
      peers_listener(this->loop, this->journal),
      tick_timer(this->loop),
      stop_timer(this->loop) {
  this->objects.SetBudget(this->answers);
  this->backends.SetBudget(this->answers);
  this->objects.SetOnFault([this](const auto& kind, const auto& object) {
    this->context.NoteUnreadable(kind, object);
  });
}

void Gateway::Run() {
  this->journal.Write(base::LogLevel::kInfo, "started",
                      {{"host", this->settings.host.value},
                       {"boot", this->state.boot.value},
                       {"data_centre", this->settings.data_centre.value}});
  this->loop.OnSignals({SIGTERM, SIGINT, SIGHUP},
                       [this](int number) { this->OnSignal(number); });
  this->Listen();
  this->Tick();
  this->loop.Run();
  this->journal.Write(base::LogLevel::kInfo, "stopped", {});
  this->journal.Flush();
}

void Gateway::Listen() {
  const auto& addresses = this->settings.listen;
  const auto on_open = [this] { this->JoinWhenListening(); };
  this->readiness_listener.Start(
      "readiness", addresses.readiness,
      [this] {
        this->readiness = this->OpenServer(
            this->settings.listen.readiness,
            [this](const auto& exchange) { this->OnReadiness(exchange); });
      },
      on_open);
  this->metrics_listener.Start(
      "metrics", addresses.metrics,
      [this] {
        this->metrics_server = this->OpenServer(
            this->settings.listen.metrics,
            [this](const auto& exchange) { this->OnMetrics(exchange); });
      },
      [] {});
  this->peers_listener.Start(
      "peers", addresses.peers, [this] { this->peers.Listen(); }, on_open);
  this->callers_listener.Start(
      "callers", addresses.callers,
      [this] {
        this->callers = this->OpenServer(
            this->settings.listen.callers,
            [this](const auto& exchange) { this->OnRequest(exchange); });
      },
      on_open);
}

std::unique_ptr<net::HttpServer> Gateway::OpenServer(
    const base::Address& address,
    net::HttpServer::Handler handler) {
  auto server = std::make_unique<net::HttpServer>(this->loop, address,
                                                  std::move(handler));
  server->SetBudget(this->buffers);
  return server;
}

void Gateway::JoinWhenListening() {
  if (this->callers_listener.is_open() && this->readiness_listener.is_open() &&
      this->peers_listener.is_open() && !this->state.stop.begun()) {
    this->Join();
  }
}

void Gateway::Join() {
  this->joined = true;
  this->on_store_era = [this](int64_t era) { this->duties.NoteStoreEra(era); };
  this->feed.Start();
  this->peers.Start();
  this->origin_lookup.SetRegistryKnownTo(
      [this] { return this->feed.registry().confirmed(); });
  this->origin_lookup.SetConfirmRegistry([this] {
    this->feed.ConfirmRegistry([this] { this->origin_lookup.NoteLearned(); });
  });
  this->origin_lookup.SetReadStored(
      [this](const std::function<void(bool)>& done) {
        this->recent.Read(done);
      });
  this->recent.Start();
  this->crashes.Step();
}

void Gateway::Tick() {
  this->tick_timer.Start(kTickInterval, [this] { this->Tick(); });
  if (this->joined) {
    this->TickJoined();
  }
  if (this->Ready() != this->was_ready) {
    this->was_ready = !this->was_ready;
    this->journal.Write(base::LogLevel::kInfo,
                        this->was_ready ? "ready" : "not_ready", {});
  }
  this->journal.Flush();
}

void Gateway::TickJoined() {
  const base::Instant now = base::Now();
  this->state.wall_clock.RecordOwnTime(TimeOfDay(), now);
  this->feed.ExpireBackends();
  this->feed.RenewFreshness(now);
  this->state.poison_requests.Prune(now);
  this->context.LogPoisonParts();
  this->crashes.Step();
  this->state.stream_origins.Prune(now);
  const int64_t window =
      this->state.wall_clock.At(now) /
      base::Duration(this->state.settings.duties.usage_window);
  this->state.usage.ForgetBefore(window - kWindowsKept);
  if (std::exchange(this->current_window, window) != window) {
    this->journal.Write(base::LogLevel::kInfo, "usage_counted",
                        {{"window", window - 1},
                         {"requests", this->state.usage.CountOf(
                                          this->state.boot, window - 1)}});
    this->journal.Write(base::LogLevel::kInfo, "platform_calls",
                        {{"calls", this->objects.counts().Print()}});
  }
  const std::vector<base::HostId> live = this->peers.LiveHosts(now);
  this->state.recent_state.SetLive(live);
  this->duties.Tick(live);
  if (this->state.table != nullptr &&
      this->state.table->version() != this->plan_version) {
    this->plan_version = this->state.table->version();
    const config::ServingLimits& limits =
        this->state.table->serving_plan().limits;
    this->callers->SetLimits({limits.max_header_bytes, limits.max_body_bytes,
                              limits.header_timeout, limits.idle_timeout});
  }
}

bool Gateway::Ready() const {
  return !this->state.stop.begun() && this->state.table != nullptr &&
         !this->state.directory.entries().empty() &&
         this->state.key_freshness.MayAcceptKeys(base::Now());
}

void Gateway::OnRequest(const std::shared_ptr<net::Exchange>& exchange) {
  std::make_shared<RequestHandler>(this->context, exchange)->Start();
}

void Gateway::OnReadiness(const std::shared_ptr<net::Exchange>& exchange) {
  exchange->Respond({{this->Ready() ? kOk : kUnavailable, {}}, ""});
}

void Gateway::OnMetrics(const std::shared_ptr<net::Exchange>& exchange) {
  const std::string& target = exchange->request().target;
  if (target == "/dump") {
    exchange->Respond(
        {{kOk, {{"Content-Type", "application/json"}}}, this->Dump()});
    return;
  }
  if (target == "/explain") {
    this->Explain(*exchange);
    return;
  }
  if (target != "/metrics") {
    exchange->Respond({{kNotFound, {}}, ""});
    return;
  }
  const base::Instant now = base::Now();
  this->metrics.SetGauge(
      "connections", this->callers == nullptr
                         ? 0
                         : static_cast<double>(this->callers->connections()));
  this->metrics.SetGauge(
      "backend_connects",
      static_cast<double>(this->backends.connections_opened()));
  this->metrics.SetGauge("plan_version",
                         static_cast<double>(this->plan_version));
  this->metrics.SetGauge("peers_heard",
                         static_cast<double>(this->peers.live_peers(now)));
  this->metrics.SetGauge(
      "retry_slack_gateways",
      static_cast<double>(
          this->state.retry_members.SlackDivisor(now).value_or(0)));
  this->metrics.SetGauge(
      "rate_limited_backends",
      static_cast<double>(this->state.rate_limits.limited_count()));
  this->metrics.SetGauge(
      "account_rate_gateways",
      static_cast<double>(
          this->state.retry_members.RateDivisor(now).value_or(0)));
  this->metrics.SetGauge(
      "requests_waiting_for_credit",
      static_cast<double>(this->account_limits.waiting_count()));
  this->metrics.SetGauge("late_requests_waiting",
                         static_cast<double>(this->waiting.size()));
  this->metrics.SetGauge("holds_duties", this->duties.holds(now) ? 1 : 0);
  this->metrics.SetGauge("buffered_bytes",
                         static_cast<double>(this->buffers->used()));
  this->metrics.SetGauge("buffers_dropped",
                         static_cast<double>(this->buffers->dropped()));
  this->metrics.SetGauge("answer_bytes",
                         static_cast<double>(this->answers->used()));
  this->metrics.SetGauge("answers_dropped",
                         static_cast<double>(this->answers->dropped()));
  this->metrics.SetGauge("resident_bytes",
                         static_cast<double>(base::ResidentBytes()));
  this->metrics.SetGauge("store_era",
                         static_cast<double>(this->state.store_era));
  this->metrics.SetGauge("store_calls",
                         static_cast<double>(this->objects.calls()));
  for (const auto& [reason, count] : this->objects.counts().by_reason()) {
    this->metrics.SetPlatformCalls(reason.call, reason.outcome, count);
  }
  this->metrics.SetGauge("log_lines_dropped",
                         static_cast<double>(this->journal.dropped()));
  const auto age = this->state.key_freshness.Age(now);
  this->metrics.SetGauge(
      "keys_age_seconds",
      age.has_value() ? std::chrono::duration<double>(*age).count() : -1);
  exchange->Respond({{kOk, {{"Content-Type", "text/plain; version=0.0.4"}}},
                     this->metrics.Print()});
}

void Gateway::Explain(net::Exchange& exchange) const {
  try {
    const auto explanation = gateway::Explain(
        this->context, ReadExplainedRequest(exchange.request().body),
        base::Now());
    exchange.Respond({{kOk, {{"Content-Type", "application/json"}}},
                      base::PrintJson(explanation)});
  } catch (const base::Error& error) {
    exchange.Respond({{kBadRequest, {}}, error.reason()});
  }
}

std::string Gateway::Dump() {
  const base::Instant now = base::Now();
  nlohmann::json backends = nlohmann::json::array();
  for (const auto& [id, entry] : this->state.directory.entries()) {
    const core::BackendLoad load = this->state.load.LoadOf(id, now);
    backends.push_back(
        {{"id", id.value},
         {"service", entry.service.value},
         {"draining", entry.draining},
         {"requests", load.requests},
         {"unread_tokens", load.unread_tokens},
         {"usable", this->state.health.Usable(id, 0, now)},
         {"silent", this->state.silence.IsSilent(id, now)},
         {"slowness", this->state.health.Slowness(id, now)},
         {"stated_slowness", this->state.reported_load.Slowness(id, now)},
         {"statement_trust", this->state.reported_load.Trust(id)},
         {"failures", this->state.health.FailureRate(id, now)}});
  }
  nlohmann::json accounts = nlohmann::json::array();
  for (const auto& [account, status] :
       this->state.account_rates.Statuses(now)) {
    accounts.push_back(
        {{"account", account.value},
         {"spent", status.spent},
         {"refused", status.refused},
         {"share_per_second", status.share_per_second},
         {"balance", status.balance},
         {"grant_age_ms", status.grant_age.has_value()
                              ? base::ToMilliseconds(*status.grant_age)
                              : -1}});
  }
  const auto age = this->state.key_freshness.Age(now);
  return base::PrintJson(
      {{"host", this->state.settings.host.value},
       {"boot", this->state.boot.value},
       {"plan_version", this->plan_version},
       {"keys_age_ms", age.has_value() ? base::ToMilliseconds(*age) : -1},
       {"ready", this->Ready()},
       {"stopping", this->state.stop.begun()},
       {"gateways", this->state.retry_members.Count()},
       {"peers_heard", this->peers.live_peers(now)},
       {"holds_duties", this->duties.holds(now)},
       {"epoch", this->duties.epoch()},
       {"windows_reported", this->duties.reported()},
       {"limited_accounts", accounts},
       {"backend_servers", backends}},
      2);
}

void Gateway::OnSignal(int number) {
  if (number == SIGHUP) {
    this->Reload();
    return;
  }
  this->BeginStop();
}

// Applies the settings that can change at run time: the bounds and the log
// level. Addresses stay as they are, since they are already bound.
void Gateway::Reload() {
  try {
    const GatewaySettings changed =
        ReadGatewaySettingsFile(this->settings_path);
    this->journal.SetLevel(changed.log.level);
    this->state.ApplyBounds(changed.bounds);
    this->journal.Write(base::LogLevel::kInfo, "reloaded",
                        {{"stop_ms", changed.bounds.stop.count()},
                         {"retry_slack", changed.bounds.retry_slack}});
  } catch (const base::Error& error) {
    this->journal.Write(base::LogLevel::kError, "reload_failed",
                        {{"reason", error.reason()}});
  }
}

void Gateway::BeginStop() {
  if (this->state.stop.begun()) {
    return;
  }
  this->state.stop.Begin(kBalancerDrainTime,
                         this->state.settings.bounds.stop - kStopMargin,
                         base::Now());
  if (!this->callers_listener.is_open()) {
    this->FinishStop();
    return;
  }
  this->journal.Write(
      base::LogLevel::kInfo, "stopping",
      {{"connections", static_cast<int64_t>(this->callers->connections())}});
  this->callers->CloseAfterAnswers();
  this->live_requests.NoteStop();
  this->stop_timer.Start(kBalancerDrainTime, [this] {
    this->live_requests.NoteStop();
    this->Stop();
  });
}

void Gateway::Stop() {
  this->callers->CloseIdle(kStopSilence);
  if (this->callers->connections() == 0 ||
      this->state.stop.MustEnd(base::Now())) {
    this->FinishStop();
    return;
  }
  this->stop_timer.Start(kStopInterval, [this] { this->Stop(); });
}

void Gateway::FinishStop() {
  for (const auto& [phase, count] : this->live_requests.CountByPhase()) {
    this->journal.Write(base::LogLevel::kWarning, "stop_closes",
                        {{"phase", phase}, {"requests", count}});
  }
  // Records the answers that are cut off.
  this->callers.reset();
  if (this->joined) {
    this->peers.Leave();
  }
  this->loop.Stop();
}

int Serve(const std::string& settings_path) {
  signal(SIGPIPE, SIG_IGN);
  Gateway gateway(settings_path);
  gateway.Run();
  return 0;
}

}  // namespace carawayvalve::gateway
