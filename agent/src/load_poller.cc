#include "load_poller.h"

#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/engine.h"
#include "carawayvalve/systems/plain_service.h"

namespace carawayvalve::agent {

LoadPoller::LoadPoller(const AgentSettings& settings,
                       AgentHandler& handler,
                       AttemptService& attempts)
    : settings(settings), handler(handler), attempts(attempts) {
  this->thread = std::thread([this] { this->Run(); });
}

LoadPoller::~LoadPoller() {
  this->stopping = true;
  this->thread.join();
}

void LoadPoller::Run() {
  while (!this->stopping) {
    this->Poll();
    this->attempts.Tick(base::Now());
    std::this_thread::sleep_for(
        base::Milliseconds(this->settings.load_interval_ms));
  }
}

systems::EngineLoad LoadPoller::ReadLoad() const {
  if (this->settings.backend_kind == BackendKind::kModel) {
    return systems::Engine(this->settings.backend_address).Load();
  }
  const systems::PlainService service(this->settings.backend_address);
  systems::EngineLoad load;
  load.running_requests = service.RunningRequests();
  return load;
}

void LoadPoller::Poll() {
  const base::Instant asked = base::Now();
  try {
    this->handler.SetLoad(this->ReadLoad(), true);
    this->attempts.NoteAlive(asked);
  } catch (const base::Error&) {
    this->handler.SetLoad({}, false);
  }
}

}  // namespace carawayvalve::agent
