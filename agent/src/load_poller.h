#ifndef CARAWAYVALVE_AGENT_SRC_LOAD_POLLER_H_
#define CARAWAYVALVE_AGENT_SRC_LOAD_POLLER_H_

#include <atomic>
#include <thread>

#include "agent_handler.h"
#include "attempt_service.h"
#include "carawayvalve/agent/settings.h"

namespace carawayvalve::agent {

// Reads the backend server's load at a fixed interval, on a thread of its own,
// and calls AttemptService::Tick. The handler and the attempts must outlive it;
// the destructor joins the thread.
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
