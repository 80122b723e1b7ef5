#ifndef CARAWAYVALVE_ENTRY_SRC_DISPATCHER_H_
#define CARAWAYVALVE_ENTRY_SRC_DISPATCHER_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "answer_writer.h"
#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/log.h"
#include "carawayvalve/core/request_flow.h"
#include "crash_reporter.h"
#include "fleet.h"
#include "traffic_control.h"

namespace carawayvalve::entry {

// A request whose caller's key and route have been checked.
struct AdmittedRequest {
  base::RequestId id;
  base::ClientAccountId client_account;
  base::ServiceId service;
  // SHA-256 of the caller's key; empty on open routes.
  std::string key_sha256;
  core::RequestOptions options;
  std::variant<wire::gen::PlainCall, wire::gen::ModelCall> call;
  core::RequestContent content;
  // Of the prompt; 0 and empty for plain calls.
  int64_t prompt_tokens = 0;
  std::vector<core::PrefixHash> prefix_hashes;
  int64_t cost_tokens = 1;
  // Keeps running after the caller closes its connection.
  bool outlives_caller = false;
  std::shared_ptr<AnswerWriter> writer;
  // Called once with the request's result; may be empty.
  std::function<void(const core::FinishRequest&)> on_finish;
};

// Returns what the request requires of a backend server.
core::RoutingQuery RoutingQueryFor(const AdmittedRequest& request);

// A request in flight, as listed in the state dump.
struct DispatchRow {
  base::RequestId request;
  base::AttemptId attempt;
  base::BackendServerId backend_server;
  base::ClientAccountId client_account;
  std::string phase;
};

// Runs the flow of every admitted request of this process: executes the flow's
// actions and passes it events of agents, callers and timers. Thread-safe.
class Dispatcher {
 public:
  // `control` and `crash_reporter` must outlive the dispatcher.
  Dispatcher(const base::BootId& entry,
             const core::RoutingSettings& routing,
             TrafficControl& control,
             CrashReporter& crash_reporter);
  ~Dispatcher();

  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Returns the backend servers; their links call back into this dispatcher.
  Fleet& fleet() { return *this->members; }

  void Start(const AdmittedRequest& request);
  std::vector<DispatchRow> Rows() const;
  size_t in_flight() const;
  // Called with each agent status; must be set before the first host is added.
  using OnStatus = std::function<void(const base::BackendServerId&,
                                      const wire::gen::AgentStatus&)>;
  void SetOnStatus(OnStatus on_status);

  // Sends this configuration to each agent whose status shows an older one.
  void SetAgentConfiguration(
      const wire::gen::AgentConfiguration& configuration);
  // Closes the links to agents; no callback runs afterwards.
  void Close();
  // Ends every request in flight as if its caller had disconnected.
  void CancelAll();
  // Makes all requests in flight have their final answer by then.
  void AnswerAllBy(base::Instant at);
  // Refuses the requests for which `withdrawn` returns true, unless they have
  // started.
  void RefuseWithdrawn(
      const std::function<bool(const AdmittedRequest&)>& withdrawn);

 private:
  // A request in flight. `mutex` guards the members below it.
  struct Run {
    explicit Run(const AdmittedRequest& request)
        : request(request), flow(request.options) {}

    const AdmittedRequest request;
    std::mutex mutex;
    core::RequestFlow flow;
    base::BootId agent;
    int64_t agent_clock_us = 0;
    // The software version at the last chosen backend server, and the one that
    // began the answer.
    std::string chosen_version;
    std::optional<std::string> answer_version;
    base::AttemptId bound_attempt;
    base::BackendServerId bound_backend;
    // The attempt whose crash is being reported to the peers; its end is
    // handled after that.
    base::AttemptId reported_attempt;
  };
  using RunsByAttempt = std::map<base::AttemptId, std::shared_ptr<Run>>;
  struct ActionExecutor;

  AgentLinkEvents EventsFor(const base::BackendServerId& backend_server);
  void UpdateAgentConfiguration(const base::BackendServerId& backend_server,
                                int64_t generation);
  std::shared_ptr<Run> Find(const base::AttemptId& attempt) const;
  std::vector<std::shared_ptr<Run>> RunsAt(
      const base::BackendServerId& backend_server) const;
  std::vector<std::shared_ptr<Run>> AllRuns() const;
  std::vector<wire::gen::ReadRequest> ReadRequestsAt(
      const base::BackendServerId& backend_server) const;

  void Notify(const std::shared_ptr<Run>& run, const core::RequestEvent& event);
  // Reports the crash that broke the attempt off, then handles the event.
  void NotifyAfterReport(const std::shared_ptr<Run>& run,
                         const base::AttemptId& attempt,
                         const std::string& death_id,
                         const core::RequestEvent& event);
  // The run's lock must be held.
  void Perform(Run& run, const std::vector<core::RequestAction>& actions);
  core::RequestEvent Choose(Run& run, const core::ChooseBackend& action);
  void SendSubmission(Run& run, const core::SubmitAttempt& action);
  void Finish(Run& run, const core::FinishRequest& action);

  // Routes events of the run's current attempt to it, and of no earlier one.
  void Bind(Run& run, const core::SubmitAttempt& action);
  // The dispatcher's lock must be held.
  void Unbind(Run& run);
  void RunTimer();

  base::BootId entry;
  TrafficControl& control;
  CrashReporter& crash_reporter;
  OnStatus on_status;
  base::Log log;
  mutable std::mutex mutex;
  std::map<base::RequestId, std::shared_ptr<Run>> runs;
  wire::gen::AgentConfiguration agent_configuration;
  RunsByAttempt attempts;
  std::map<base::BackendServerId, RunsByAttempt> attempts_by_backend;
  std::unique_ptr<Fleet> members;
  std::atomic<bool> stopping = false;
  std::thread timer;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_DISPATCHER_H_
