#ifndef CARAWAYVALVE_AGENT_SRC_RUNNER_H_
#define CARAWAYVALVE_AGENT_SRC_RUNNER_H_

#include <string>

#include "attempt_service.h"
#include "carawayvalve/base/log.h"

namespace carawayvalve::agent {

// Runs attempts at the backend server, one at a time. An agent has one runner
// per slot.
class Runner {
 public:
  Runner(AttemptService& attempts, std::string backend_address);

  // Runs attempts until the attempt service is closed.
  void Run();

 private:
  void RunJob(const Job& job);
  void Call(const Job& job, const PlainJob& call);
  void Call(const Job& job, const ModelJob& call);
  // Passes on what the head of an answer to a request that was sent at `asked`
  // says about the rate of requests.
  void NoteRate(int status,
                const std::vector<systems::HttpHeader>& headers,
                base::Instant asked);
  bool Append(const Job& job, const systems::EngineLine& line);
  // Tells the engine to stop the generation. A failure is only logged.
  void CancelAtEngine(const Job& job, const ModelJob& call);

  AttemptService& attempts;
  std::string backend_address;
  base::Log log;
};

}  // namespace carawayvalve::agent

#endif  // CARAWAYVALVE_AGENT_SRC_RUNNER_H_
