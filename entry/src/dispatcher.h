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
#include "fleet.h"
#include "traffic_control.h"

namespace carawayvalve::entry {

// A request that may run: its caller's key and route have been checked.
struct AdmittedRequest {
  base::RequestId id;
  base::ClientAccountId client_account;
  base::ServiceId service;
  // SHA-256 of the caller's key; empty on open routes.
  std::string key_sha256;
  core::RequestOptions options;
  std::variant<wire::gen::PlainCall, wire::gen::ModelCall> call;
  std::string content_digest;
  // Of the prompt; empty for plain calls.
  int64_t prompt_tokens = 0;
  std::vector<core::PrefixHash> prefix_hashes;
  int64_t cost_tokens = 1;
  // It runs on when its caller closes the connection.
  bool outlives_caller = false;
  std::shared_ptr<AnswerWriter> writer;
  // Called once with how the request ended; may be empty.
  std::function<void(const core::FinishRequest&)> on_finish;
};

// What the request needs of a backend server.
core::RoutingQuery RoutingQueryFor(const AdmittedRequest& request);

// One request in flight, for the state dump.
struct DispatchRow {
  base::RequestId request;
  base::AttemptId attempt;
  base::BackendServerId backend_server;
  base::ClientAccountId client_account;
  std::string phase;
};

// Runs the flow of every request of this process: carries out what the flow
// decides and tells it what happens. Safe to call from several threads.
class Dispatcher {
 public:
  // `control` must outlive the dispatcher.
  Dispatcher(const base::BootId& entry,
             const core::RoutingSettings& routing,
             TrafficControl& control);
  ~Dispatcher();

  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // The backend servers; their links call back into this dispatcher.
  Fleet& fleet() { return *this->members; }

  void Start(const AdmittedRequest& request);
  std::vector<DispatchRow> Rows() const;
  size_t in_flight() const;
  // Called with each status of an agent; to be set before the first host.
  using OnStatus = std::function<void(const base::BackendServerId&,
                                      const wire::gen::AgentStatus&)>;
  void SetOnStatus(OnStatus on_status);

  // Agents that have an older configuration are given this one.
  void SetAgentConfiguration(
      const wire::gen::AgentConfiguration& configuration);
  // Closes the links to agents; nothing is called back afterwards.
  void Close();
  // Gives up every request that is still in flight.
  void CancelAll();
  // Refuses what hasn't started of accounts whose key was withdrawn.
  void RefuseWithdrawn(const std::function<bool(const AdmittedRequest&)>& withdrawn);

 private:
  // A request in flight. `mutex` guards everything below it.
  struct Run {
    explicit Run(const AdmittedRequest& request)
        : request(request), flow(request.options) {}

    const AdmittedRequest request;
    std::mutex mutex;
    core::RequestFlow flow;
    base::BootId agent;
    int64_t agent_clock_us = 0;
    base::AttemptId bound_attempt;
    base::BackendServerId bound_backend;
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
  // Expects the run's lock to be held.
  void Perform(Run& run, const std::vector<core::RequestAction>& actions);
  core::RequestEvent Choose(Run& run, const core::ChooseBackend& action);
  void SendSubmission(Run& run, const core::SubmitAttempt& action);
  void Finish(Run& run, const core::FinishRequest& action);

  // Has the events of the run's present attempt reach it, and no others.
  void Bind(Run& run, const core::SubmitAttempt& action);
  // Expects the dispatcher's lock to be held.
  void Unbind(Run& run);
  void RunTimer();

  base::BootId entry;
  TrafficControl& control;
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
