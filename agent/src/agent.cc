#include "carawayvalve/agent/agent.h"

#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "agent_handler.h"
#include "attempt_service.h"
#include "carawayvalve/base/crash_report.h"
#include "carawayvalve/base/listen.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/base/stop_signal.h"
#include "carawayvalve/systems/operator_server.h"
#include "carawayvalve/wire/server.h"
#include "load_poller.h"
#include "runner.h"
#include "state_dump.h"
#include "usage_counters.h"

namespace carawayvalve::agent {

namespace {

// After the last answer was read, a reader whose connection broke may request
// it once more.
constexpr base::Milliseconds kLastReadGrace{300};

// Waits until `until` for collectors to read the remaining usage: usage that
// isn't collected is lost when this process ends.
void WaitForUsageCollection(UsageCounters& usage,
                            base::Instant until,
                            const base::Log& log) {
  const auto remaining =
      std::chrono::duration_cast<base::Milliseconds>(until - base::Now());
  usage.Close();
  if (!usage.WaitUntilCollected(std::max(remaining, base::Milliseconds(0)))) {
    log.Warn("Usage of " + std::to_string(usage.state().uncollected) +
             " attempts may not have reached a collector.");
  }
}

// Owns the threads of the runners. The destructor closes the attempt service
// and joins the threads, also when the agent ends by an exception.
class RunnerThreads {
 public:
  explicit RunnerThreads(AttemptService& attempts) : attempts(attempts) {}
  ~RunnerThreads() {
    this->attempts.Close();
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  RunnerThreads(const RunnerThreads&) = delete;
  RunnerThreads& operator=(const RunnerThreads&) = delete;

  void Start(const AgentSettings& settings) {
    this->threads.reserve(static_cast<size_t>(settings.slots));
    for (int32_t i = 0; i < settings.slots; ++i) {
      this->threads.emplace_back([this, address = settings.backend_address] {
        Runner(this->attempts, address).Run();
      });
    }
  }

 private:
  AttemptService& attempts;
  std::vector<std::thread> threads;
};

}  // namespace

int RunAgent(const AgentSettings& settings) {
  base::BlockStopSignals();
  base::SetUpLog(settings.log_level);
  base::ReportCrashes(STDERR_FILENO);
  const base::Log log("agent");
  const base::BootId boot{base::RandomName()};

  // Set before the listener accepts the first attempt, and so before the
  // callbacks below are first called.
  std::shared_ptr<AgentHandler> handler;
  UsageCounters usage;
  AttemptService attempts(
      {.slots = settings.slots,
       .max_queued_per_account = settings.max_queued_per_account,
       .retention = base::Milliseconds(settings.attempt_retention_ms),
       .on_crash = [&] { handler->NoteCrash(); },
       .on_usage =
           [&](const base::ClientAccountId& client_account,
               const core::UsageFigures& figures) {
             usage.Count(client_account, figures);
           },
       .on_rate_change = [&] { handler->NoteRateChange(); }});
  OrderService orders(settings, boot,
                      {.idle = [&] { return attempts.running() == 0; },
                       .set_hold =
                           [&](bool hold) {
                             attempts.SetPaused(hold);
                             handler->SetRequestsHeld(hold);
                           }});
  handler =
      std::make_shared<AgentHandler>(settings, boot, attempts, orders, usage);
  try {
    RunnerThreads runners(attempts);
    runners.Start(settings);
    const LoadPoller load_poller(settings, *handler, attempts);
    const wire::Server server = base::OpenWhenFree(log, [&] {
      return wire::Server("entry processes", settings.peer_address,
                          std::make_shared<wire::gen::AgentProcessor>(handler));
    });
    const systems::OperatorServer operator_server =
        base::OpenWhenFree(log, [&] {
          return systems::OperatorServer(
              settings.operator_address,
              OperatorPages(settings, *handler, attempts, usage));
        });
    log.Info("The agent serves.", {.peer = settings.peer_address});

    base::WaitForStopSignal();
    log.Info("The agent is leaving: it refuses new attempts and drains.");
    attempts.Leave();
    handler->Leave();
    const base::Milliseconds drain_timeout(settings.drain_timeout_ms);
    const base::Instant until = base::Now() + drain_timeout;
    const bool idle = attempts.WaitUntilIdle(drain_timeout);
    std::this_thread::sleep_for(kLastReadGrace);
    if (!idle) {
      log.Warn("The drain timeout passed with requests in flight.");
    }
    WaitForUsageCollection(usage, until, log);
    attempts.Close();
  } catch (const base::StoppedBeforeListening&) {
    // Nothing has been accepted.
  }
  log.Info("The agent has stopped.");
  return 0;
}

}  // namespace carawayvalve::agent
