#include "carawayvalve/entry/serve.h"

#include <unistd.h>

#include <atomic>
#include <set>
#include <thread>

#include "caller_http_server.h"
#include "carawayvalve/base/crash_report.h"
#include "carawayvalve/base/listen.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/base/stop_signal.h"
#include "carawayvalve/core/agent_selection.h"
#include "carawayvalve/systems/operator_server.h"
#include "carawayvalve/wire/server.h"
#include "configuration_feed.h"
#include "dispatcher.h"
#include "duty_manager.h"
#include "duty_tasks.h"
#include "entry_metrics.h"
#include "host_list_poller.h"
#include "peer_handler.h"
#include "peer_poller.h"
#include "request_admitter.h"
#include "state_dump.h"

namespace carawayvalve::entry {

namespace {

constexpr int64_t kInitialMaxBodyBytes = 4 * 1024 * 1024;
constexpr base::Milliseconds kDrainInterval{20};

CallerHttpServer::Limits CallerLimits(const EntrySettings& settings,
                                      const RequestAdmitter& admitter) {
  CallerHttpServer::Limits limits;
  limits.threads = static_cast<unsigned>(settings.http_threads);
  limits.max_connections = static_cast<unsigned>(settings.max_connections);
  limits.max_idle_s =
      static_cast<unsigned>((settings.max_connection_idle_ms + 999) / 1000);
  limits.max_header_bytes = static_cast<size_t>(settings.max_header_bytes);
  limits.max_body_bytes = [&admitter] {
    const auto active = admitter.Active();
    return active ? active->configuration->declaration.limits.max_body_bytes
                  : kInitialMaxBodyBytes;
  };
  return limits;
}

int64_t BalancerDelay(const RequestAdmitter& admitter) {
  const auto active = admitter.Active();
  return active ? active->configuration->declaration.limits.balancer_delay_ms
                : 0;
}

// The components of a running entry process. They are destroyed in reverse
// order.
class EntryProcess {
 public:
  explicit EntryProcess(const EntrySettings& settings);
  ~EntryProcess();

  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Reports this process as leaving, waits until the load balancer has noticed,
  // then waits for the requests in flight.
  void Drain();

 private:
  static core::RoutingSettings MakeRoutingSettings(
      const EntrySettings& settings);
  void SetHosts(const std::vector<systems::Host>& hosts);
  // Returns the hosts whose agents this process keeps links to.
  std::vector<systems::Host> AgentHosts(
      const std::vector<systems::Host>& hosts) const;
  void SetConfiguration(
      const ConfigurationFeed::ConfigurationPtr& configuration);
  OperatorPageSources PageSources();
  PeerHandler::Sources PeerHandlerSources();

  const EntrySettings settings;
  const base::Log log;
  const base::BootId boot;
  const systems::ObjectApi store;
  std::atomic<bool> leaving = false;
  EntryMetrics metrics;
  TrafficControl control;
  CrashReporter crash_reporter;
  Dispatcher dispatcher;
  ConfigurationFeed feed;
  PeerPoller peers;
  ClaimService claims;
  RequestAdmitter admitter;
  UsageCollector usage_collector;
  UsageDutyTask usage_task;
  DutyTasks duty_tasks;
  DutyManager duty_manager;
  wire::Server peer_server;
  CallerHttpServer callers;
  systems::OperatorServer operators;
  // Last, as the other hosts may be told of this process only once it listens.
  HostListPoller hosts;
};

EntryProcess::EntryProcess(const EntrySettings& settings)
    : settings(settings),
      log("entry"),
      boot{base::RandomName()},
      store(settings.object_api_address,
            base::Milliseconds(settings.store_timeout_ms)),
      control(boot),
      crash_reporter(settings.host),
      dispatcher(boot, MakeRoutingSettings(settings), control, crash_reporter),
      feed(settings),
      peers(settings, feed, control, crash_reporter),
      claims(store,
             boot,
             dispatcher,
             [this](const base::BootId& writer) {
               return writer != this->boot && this->peers.IsTerminated(writer);
             }),
      admitter(dispatcher,
               control,
               claims,
               metrics,
               [this] {
                 return this->feed.Freshness() != core::FreshnessState::kCutOff;
               }),
      usage_collector(settings),
      usage_task(settings, boot, store, usage_collector, metrics),
      duty_tasks(settings, boot, store, dispatcher, usage_task),
      duty_manager(settings,
                   boot,
                   store,
                   [this](const core::Duty& duty) {
                     return this->duty_tasks.TaskFor(duty);
                   }),
      peer_server(base::OpenWhenFree(
          log,
          [this] {
            return wire::Server(
                "other entry processes", this->settings.peer_address,
                std::make_shared<wire::gen::EntryPeerProcessor>(
                    std::make_shared<PeerHandler>(this->PeerHandlerSources())));
          })),
      callers(base::OpenWhenFree(
          log,
          [this] {
            return CallerHttpServer(
                this->settings.callers_address,
                CallerLimits(this->settings, this->admitter),
                [this](const CallerRequest& request,
                       const std::shared_ptr<Exchange>& exchange) {
                  this->admitter.Handle(request, exchange);
                });
          })),
      operators(base::OpenWhenFree(log,
                                   [this] {
                                     return systems::OperatorServer(
                                         this->settings.operator_address,
                                         OperatorPages(this->PageSources()));
                                   })),
      hosts(settings.host_list_address,
            [this](const std::vector<systems::Host>& list) {
              this->SetHosts(list);
            }) {
  this->feed.Start(
      [this](const ConfigurationFeed::ConfigurationPtr& configuration) {
        this->SetConfiguration(configuration);
      });
  this->log.Info("The entry process is serving callers.",
                 {.peer = settings.callers_address});
}

EntryProcess::~EntryProcess() {
  this->feed.Stop();
  this->dispatcher.CancelAll();
  this->dispatcher.Close();
}

core::RoutingSettings EntryProcess::MakeRoutingSettings(
    const EntrySettings& settings) {
  core::RoutingSettings routing;
  routing.data_centre = settings.data_centre;
  return routing;
}

void EntryProcess::SetHosts(const std::vector<systems::Host>& hosts) {
  std::vector<systems::Host> entry_hosts;
  for (const systems::Host& host : hosts) {
    if (host.role == systems::HostRole::kEntry && !host.leaving) {
      entry_hosts.push_back(host);
    }
  }
  const std::vector<systems::Host> agents = this->AgentHosts(hosts);
  this->dispatcher.fleet().SetHosts(agents);
  this->usage_collector.SetHosts(hosts, agents);
  this->feed.SetHosts(entry_hosts);
  this->peers.SetHosts(entry_hosts);
  this->duty_tasks.SetHosts(hosts);
  this->duty_manager.SetHosts(entry_hosts);
}

std::vector<systems::Host> EntryProcess::AgentHosts(
    const std::vector<systems::Host>& hosts) const {
  std::vector<core::BackendHost> backends;
  for (const systems::Host& host : hosts) {
    if (host.role == systems::HostRole::kBackend) {
      backends.push_back({host.name, host.data_centre, host.service});
    }
  }
  const std::set<base::HostId> chosen = core::ChooseAgents(
      backends, this->settings.host, this->settings.data_centre);
  std::vector<systems::Host> agents;
  for (const systems::Host& host : hosts) {
    if (chosen.contains(host.name)) {
      agents.push_back(host);
    }
  }
  return agents;
}

void EntryProcess::SetConfiguration(
    const ConfigurationFeed::ConfigurationPtr& configuration) {
  this->admitter.Activate(configuration);
  this->usage_task.SetLimits(configuration->declaration.limits);
  this->duty_tasks.SetConfiguration(*configuration);
  this->duty_manager.SetConfiguration(*configuration);
}

OperatorPageSources EntryProcess::PageSources() {
  return {this->settings,
          this->boot,
          this->feed,
          this->peers,
          this->admitter,
          this->dispatcher,
          this->metrics,
          this->leaving,
          [this] { return this->duty_manager.HeldDuties(); },
          [this] { return this->usage_task.Progress(); }};
}

PeerHandler::Sources EntryProcess::PeerHandlerSources() {
  return {
      this->settings,       this->boot,
      this->feed,           this->control,
      this->leaving,        [this] { return this->duty_manager.HeldDuties(); },
      this->usage_collector};
}

void EntryProcess::Drain() {
  this->log.Info("The entry process is draining.");
  const base::Milliseconds balancer_delay(BalancerDelay(this->admitter));
  const base::Duration time_to_end =
      balancer_delay + base::Milliseconds(this->settings.drain_timeout_ms);
  const base::Instant until = base::Now() + time_to_end;
  this->admitter.BeginStop(balancer_delay, time_to_end);
  this->leaving = true;
  std::this_thread::sleep_for(balancer_delay);
  this->callers.StopAccepting();
  while (this->callers.open_requests() > 0 && base::Now() < until) {
    std::this_thread::sleep_for(kDrainInterval);
  }
  if (this->callers.open_requests() > 0) {
    this->log.Warn("The drain timeout expired with requests in flight.");
  }
}

}  // namespace

int Serve(const EntrySettings& settings) {
  base::BlockStopSignals();
  base::SetUpLog(settings.log_level);
  base::ReportCrashes(STDERR_FILENO);
  try {
    EntryProcess process(settings);
    base::WaitForStopSignal();
    process.Drain();
  } catch (const base::StoppedBeforeListening&) {
    // Nothing has been accepted.
  }
  base::Log("entry").Info("The entry process has stopped.");
  return 0;
}

}  // namespace carawayvalve::entry
