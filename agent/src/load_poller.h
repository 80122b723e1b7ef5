#ifndef CARAWAYVALVE_AGENT_SRC_LOAD_POLLER_H_
#define CARAWAYVALVE_AGENT_SRC_LOAD_POLLER_H_

#include <atomic>
#include <thread>

#include "agent_handler.h"
#include "attempt_service.h"
#include "carawayvalve/agent/settings.h"

namespace carawayvalve::agent {

// Asks the backend server for its load from time to time, on its own thread;
// also moves the attempts' clock on.
class LoadPoller {
 public:
  LoadPoller(const AgentSettings& settings,
             AgentHandler& handler,
             AttemptService& attempts);
  ~LoadPoller();

 private:
  void Run();
  void Poll();
  systems::EngineLoad ReadLoad() const;

  AgentSettings settings;
  AgentHandler& handler;
  AttemptService& attempts;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_LOAD_POLLER_H_
