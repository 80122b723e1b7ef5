#ifndef CARAWAYVALVE_AGENT_SRC_AGENT_HANDLER_H_
#define CARAWAYVALVE_AGENT_SRC_AGENT_HANDLER_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "Agent.h"
#include "attempt_service.h"
#include "carawayvalve/agent/settings.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/systems/engine.h"
#include "order_service.h"
#include "usage_counters.h"

namespace carawayvalve::agent {

// Implements the agent's Thrift service for entry processes. Safe to call from
// several threads.
class AgentHandler : public wire::gen::AgentIf {
 public:
  AgentHandler(const AgentSettings& settings,
               const base::BootId& boot,
               AttemptService& attempts,
               OrderService& orders,
               UsageCounters& counters);

  void submit(wire::gen::SubmitAnswer& answer,
              const wire::gen::Submission& submission) override;
  void read(std::vector<wire::gen::Chunk>& answer,
            const std::string& entry_boot,
            const std::vector<wire::gen::ReadRequest>& requests,
            int64_t wait_ms) override;
  void abandon(wire::gen::Chunk& answer,
               const std::string& attempt,
               const std::string& agent_boot,
               int64_t agent_clock_us) override;
  void cancel(const std::string& attempt) override;
  void status(wire::gen::AgentStatus& answer,
              int64_t known_revision,
              int64_t wait_ms) override;
  void cache_events(wire::gen::CacheEvents& answer,
                    int64_t from_event) override;
  void configure(const wire::gen::AgentConfiguration& configuration) override;
  void order(wire::gen::OrderAnswer& answer,
             const wire::gen::Order& order) override;
  void usage(wire::gen::UsageCounters& answer,
             int64_t since_window,
             int64_t open_window) override;

  // Each of these updates the status and wakes the callers that wait for it.
  void NoteCrash();
  // Publishes that the backend server has named or withdrawn a limit of its
  // requests.
  void NoteRateChange();
  void Leave();
  // While requests are held, because an order waits or runs at the engine, the
  // status reports the agent as not ready, so that no new requests are sent.
  void SetRequestsHeld(bool requests_held);
  // Records the load and whether the backend server answers. Wakes the callers
  // only when readiness, role or models changed, or a load is due.
  void SetLoad(const systems::EngineLoad& load, bool ready);

 private:
  wire::gen::AgentStatus CurrentStatus();
  bool ShouldPublishLoad(const systems::EngineLoad& load);

  AgentSettings settings;
  base::BootId boot;
  AttemptService& attempts;
  OrderService& orders;
  UsageCounters& counters;
  base::Log log;
  std::mutex mutex;
  std::condition_variable status_changed;
  systems::EngineLoad load;
  base::Instant load_published_at;
  bool ready = false;
  bool requests_held = false;
  // The backend server has been ready before, so when it becomes ready again it
  // counts as restarted.
  bool was_ready = false;
  bool leaving = false;
  bool closed = false;
  int64_t revision = 1;
  int64_t generation = 0;
};

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_AGENT_HANDLER_H_
