#include "dispatcher.h"

#include <algorithm>
#include <utility>

#include "crash_records.h"

namespace carawayvalve::entry {

namespace {

constexpr base::Milliseconds kTimerInterval{20};
constexpr base::Milliseconds kRetryAfterNoBackend{1000};
// Reads from the agent pause while more than this is unsent to the caller.
constexpr size_t kMaxUnsentBytes = 1024 * 1024;
constexpr int64_t kMaxBytesPerRead = 256 * 1024;
// A part that crashes engines does so when they begin to answer. Of a request
// with more tokens, no part can be the cause.
constexpr int32_t kMaxTokensOfCrash = 1;

wire::gen::Submission MakeSubmission(const AdmittedRequest& request,
                                     const core::SubmitAttempt& action) {
  wire::gen::Submission submission;
  submission.attempt = action.attempt.value;
  submission.request = request.id.value;
  submission.client_account = request.client_account.value;
  submission.service_name = request.service.value;
  submission.idempotent = request.options.idempotent;
  submission.remaining_ms =
      base::ToMilliseconds(request.options.deadline - base::Now());
  submission.content_digest = request.content.digest;
  submission.cost_tokens = request.cost_tokens;
  if (const auto* model = std::get_if<wire::gen::ModelCall>(&request.call)) {
    wire::gen::ModelCall call = *model;
    call.text_so_far = action.text_so_far;
    call.tokens_so_far = action.tokens_so_far;
    submission.__set_model(call);
  } else {
    submission.__set_plain(std::get<wire::gen::PlainCall>(request.call));
  }
  return submission;
}

std::optional<base::ModelId> ModelOf(const AdmittedRequest& request) {
  if (const auto* model = std::get_if<wire::gen::ModelCall>(&request.call)) {
    return base::ModelId{model->model};
  }
  return std::nullopt;
}

}  // namespace

core::RoutingQuery RoutingQueryFor(const AdmittedRequest& request) {
  core::RoutingQuery query;
  query.service = request.service;
  query.model = ModelOf(request);
  query.prompt_tokens = request.prompt_tokens;
  query.prefix_hashes = request.prefix_hashes;
  return query;
}

// Executes one action of a flow. The run's lock must be held. Returns the
// event that the action caused at once, if any.
struct Dispatcher::ActionExecutor {
  Dispatcher& dispatcher;
  Run& run;

  using Reply = std::optional<core::RequestEvent>;

  Reply operator()(const core::ChooseBackend& action) {
    return this->dispatcher.Choose(this->run, action);
  }

  Reply operator()(const core::SubmitAttempt& action) {
    this->dispatcher.SendSubmission(this->run, action);
    return std::nullopt;
  }

  Reply operator()(const core::AbandonAttempt& action) {
    const auto link = this->dispatcher.fleet().FindLink(action.backend_server);
    if (link == nullptr) {
      return core::BackendLost{action.attempt, "the backend server is gone"};
    }
    link->Abandon(action.attempt, this->run.agent, this->run.agent_clock_us);
    return std::nullopt;
  }

  Reply operator()(const core::CancelAttempt& action) {
    if (const auto link =
            this->dispatcher.fleet().FindLink(action.backend_server)) {
      link->Cancel(action.attempt);
    }
    return std::nullopt;
  }

  Reply operator()(const core::DeliverRecord& action) {
    this->run.request.writer->Write(action.record);
    return std::nullopt;
  }

  Reply operator()(const core::FinishRequest& action) {
    this->dispatcher.Finish(this->run, action);
    return std::nullopt;
  }
};

Dispatcher::Dispatcher(const base::BootId& entry,
                       const core::RoutingSettings& routing,
                       TrafficControl& control,
                       CrashReporter& crash_reporter)
    : entry(entry),
      control(control),
      crash_reporter(crash_reporter),
      log("dispatch") {
  this->members = std::make_unique<Fleet>(
      entry, routing, [this](const base::BackendServerId& backend_server) {
        return this->EventsFor(backend_server);
      });
  this->timer = std::thread([this] { this->RunTimer(); });
}

Dispatcher::~Dispatcher() {
  this->stopping = true;
  this->timer.join();
  this->Close();
}

void Dispatcher::Close() {
  this->members->Close();
}

AgentLinkEvents Dispatcher::EventsFor(
    const base::BackendServerId& backend_server) {
  AgentLinkEvents events;
  events.on_event = [this](const base::AttemptId& attempt,
                           const core::RequestEvent& event) {
    if (const auto run = this->Find(attempt)) {
      this->Notify(run, event);
    }
  };
  events.on_crash = [this](const base::AttemptId& attempt,
                           const std::string& death_id,
                           const core::RequestEvent& event) {
    if (const auto run = this->Find(attempt)) {
      this->NotifyAfterReport(run, attempt, death_id, event);
    }
  };
  events.read_requests = [this, backend_server] {
    return this->ReadRequestsAt(backend_server);
  };
  events.on_status = [this,
                      backend_server](const wire::gen::AgentStatus& status) {
    this->control.MergeCrashRecords(FromWire(status.deaths));
    this->fleet().SetStatus(backend_server, status);
    this->UpdateAgentConfiguration(backend_server, status.generation);
    if (this->on_status) {
      this->on_status(backend_server, status);
    }
  };
  events.on_cache_events =
      [this, backend_server](const wire::gen::CacheEvents& cache) {
        this->fleet().NoteCacheEvents(backend_server, cache);
      };
  events.on_lost = [this, backend_server](const std::string& reason) {
    this->fleet().SetUnreachable(backend_server);
    for (const auto& run : this->RunsAt(backend_server)) {
      core::BackendLost event;
      event.reason = reason;
      {
        const std::lock_guard lock(run->mutex);
        event.attempt = run->flow.attempt();
      }
      this->Notify(run, event);
    }
  };
  return events;
}

void Dispatcher::SetOnStatus(OnStatus on_status) {
  this->on_status = std::move(on_status);
}

void Dispatcher::SetAgentConfiguration(
    const wire::gen::AgentConfiguration& configuration) {
  const std::lock_guard lock(this->mutex);
  this->agent_configuration = configuration;
}

void Dispatcher::UpdateAgentConfiguration(
    const base::BackendServerId& backend_server,
    int64_t generation) {
  wire::gen::AgentConfiguration configuration;
  {
    const std::lock_guard lock(this->mutex);
    configuration = this->agent_configuration;
  }
  const auto link = this->fleet().FindLink(backend_server);
  if (link != nullptr && configuration.generation > generation) {
    link->Configure(configuration);
  }
}

void Dispatcher::Start(const AdmittedRequest& request) {
  const auto run = std::make_shared<Run>(request);
  {
    const std::lock_guard lock(this->mutex);
    this->runs[request.id] = run;
  }
  const std::lock_guard lock(run->mutex);
  this->Perform(*run, run->flow.Begin(base::Now()));
}

void Dispatcher::Notify(const std::shared_ptr<Run>& run,
                        const core::RequestEvent& event) {
  const std::lock_guard lock(run->mutex);
  this->Perform(*run, run->flow.Step(event, base::Now()));
}

void Dispatcher::NotifyAfterReport(const std::shared_ptr<Run>& run,
                                   const base::AttemptId& attempt,
                                   const std::string& death_id,
                                   const core::RequestEvent& event) {
  {
    const std::lock_guard lock(run->mutex);
    if (run->reported_attempt == attempt) {
      return;
    }
    run->reported_attempt = attempt;
  }
  this->log.Info("A backend server crashed during an attempt.",
                 {.request = run->request.id.value,
                  .attempt = attempt.value,
                  .backend_server = run->bound_backend.value});
  core::RequestContent content = run->request.content;
  {
    const std::lock_guard lock(run->mutex);
    if (run->flow.attempt_tokens() > kMaxTokensOfCrash) {
      content.parts.clear();
    }
  }
  this->control.NoteCrash(content, death_id);
  this->crash_reporter.Report(content, death_id,
                              [this, run, event] { this->Notify(run, event); });
}

void Dispatcher::Perform(Run& run,
                         const std::vector<core::RequestAction>& actions) {
  std::vector<core::RequestAction> pending_actions = actions;
  for (size_t i = 0; i < pending_actions.size(); ++i) {
    const core::RequestAction action = pending_actions[i];
    if (const auto event = std::visit(ActionExecutor{*this, run}, action)) {
      const auto next_actions = run.flow.Step(*event, base::Now());
      pending_actions.insert(pending_actions.end(), next_actions.begin(),
                             next_actions.end());
    }
  }
}

core::RequestEvent Dispatcher::Choose(Run& run,
                                      const core::ChooseBackend& action) {
  const core::RequestContent& content = run.request.content;
  if (!action.is_retry && !content.parts.empty()) {
    this->control.NoteRequest(content.parts);
  }
  const auto admission =
      this->control.AdmitContent(content, [this](const std::string& part) {
        return this->crash_reporter.MakesTrialsOf(part);
      });
  if (admission == core::ContentAdmission::kQuarantined) {
    return core::NoBackendAvailable{
        "backend servers died while they ran this request",
        std::chrono::duration_cast<base::Milliseconds>(
            this->control.QuarantineLeft(content).value_or(base::Duration(0)))};
  }
  if (action.is_retry && !this->control.TrySpendRetry()) {
    return core::NoBackendAvailable{"no retry is left to spend",
                                    kRetryAfterNoBackend};
  }
  core::RoutingQuery query = RoutingQueryFor(run.request);
  query.excluded = action.excluded;
  if (run.flow.has_output() && !run.answer_version.has_value()) {
    run.answer_version = run.chosen_version;
  }
  query.software_version = run.answer_version;
  const base::AttemptId attempt{base::RandomName()};
  const auto result = this->fleet().Choose(attempt, query);
  if (const auto* unavailable = std::get_if<core::NoBackendReady>(&result)) {
    return core::NoBackendAvailable{unavailable->reason, kRetryAfterNoBackend};
  }
  const auto& choice = std::get<BackendChoice>(result);
  run.agent = choice.agent;
  run.agent_clock_us = choice.agent_clock_us;
  run.chosen_version = choice.software_version;
  return core::BackendChosen{attempt, choice.backend_server};
}

void Dispatcher::SendSubmission(Run& run, const core::SubmitAttempt& action) {
  this->Bind(run, action);
  const auto link = this->fleet().FindLink(action.backend_server);
  if (link == nullptr) {
    const core::SubmitRefused event{
        action.attempt, "the backend server is gone", {}};
    this->Perform(run, run.flow.Step(event, base::Now()));
    return;
  }
  wire::gen::Submission submission = MakeSubmission(run.request, action);
  submission.known_deaths =
      this->control.CountCrashes(run.request.content.digest);
  submission.agent_boot = run.agent.value;
  submission.agent_clock_us = run.agent_clock_us;
  submission.entry_boot = this->entry.value;
  link->Submit(submission);
}

void Dispatcher::Bind(Run& run, const core::SubmitAttempt& action) {
  const std::lock_guard lock(this->mutex);
  this->Unbind(run);
  const auto found = this->runs.find(run.request.id);
  if (found == this->runs.end()) {
    return;
  }
  run.bound_attempt = action.attempt;
  run.bound_backend = action.backend_server;
  this->attempts[action.attempt] = found->second;
  this->attempts_by_backend[action.backend_server][action.attempt] =
      found->second;
}

void Dispatcher::Unbind(Run& run) {
  this->fleet().NoteEnded(run.bound_attempt);
  this->attempts.erase(run.bound_attempt);
  const auto found = this->attempts_by_backend.find(run.bound_backend);
  if (found != this->attempts_by_backend.end()) {
    found->second.erase(run.bound_attempt);
  }
}

void Dispatcher::Finish(Run& run, const core::FinishRequest& action) {
  if (!action.whole) {
    this->log.Info("A request failed: " + action.reason + ".",
                   {.request = run.request.id.value,
                    .attempt = run.flow.attempt().value,
                    .backend_server = run.flow.backend_server().value});
  }
  if (action.whole) {
    this->control.NoteServed(run.request.content.parts);
  }
  run.request.writer->Finish(action);
  if (run.request.on_finish) {
    run.request.on_finish(action);
  }
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->attempts,
                [&](const auto& entry) { return entry.second.get() == &run; });
  this->runs.erase(run.request.id);
}

std::shared_ptr<Dispatcher::Run> Dispatcher::Find(
    const base::AttemptId& attempt) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->attempts.find(attempt);
  return found == this->attempts.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<Dispatcher::Run>> Dispatcher::AllRuns() const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::shared_ptr<Run>> all;
  for (const auto& [id, run] : this->runs) {
    all.push_back(run);
  }
  return all;
}

std::vector<std::shared_ptr<Dispatcher::Run>> Dispatcher::RunsAt(
    const base::BackendServerId& backend_server) const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::shared_ptr<Run>> backend_runs;
  const auto found = this->attempts_by_backend.find(backend_server);
  if (found != this->attempts_by_backend.end()) {
    for (const auto& [attempt, run] : found->second) {
      backend_runs.push_back(run);
    }
  }
  return backend_runs;
}

std::vector<wire::gen::ReadRequest> Dispatcher::ReadRequestsAt(
    const base::BackendServerId& backend_server) const {
  std::vector<wire::gen::ReadRequest> read_requests;
  for (const auto& run : this->RunsAt(backend_server)) {
    const std::lock_guard lock(run->mutex);
    if (!run->flow.reading() || run->flow.backend_server() != backend_server) {
      continue;
    }
    wire::gen::ReadRequest read_request;
    read_request.attempt = run->flow.attempt().value;
    read_request.offset = run->flow.read_offset();
    const size_t unsent = run->request.writer->exchange()->unsent_bytes();
    const bool paused = unsent > kMaxUnsentBytes ||
                        run->reported_attempt == run->flow.attempt();
    read_request.most_bytes = paused ? 0 : kMaxBytesPerRead;
    read_requests.push_back(read_request);
  }
  return read_requests;
}

std::vector<DispatchRow> Dispatcher::Rows() const {
  std::vector<DispatchRow> rows;
  for (const auto& run : this->AllRuns()) {
    const std::lock_guard lock(run->mutex);
    rows.push_back({run->request.id, run->flow.attempt(),
                    run->flow.backend_server(), run->request.client_account,
                    run->flow.phase_name()});
  }
  return rows;
}

size_t Dispatcher::in_flight() const {
  const std::lock_guard lock(this->mutex);
  return this->runs.size();
}

void Dispatcher::RefuseWithdrawn(
    const std::function<bool(const AdmittedRequest&)>& withdrawn) {
  for (const auto& run : this->AllRuns()) {
    if (withdrawn(run->request)) {
      this->Notify(run, core::PermissionWithdrawn{});
    }
  }
}

void Dispatcher::AnswerAllBy(base::Instant at) {
  for (const auto& run : this->AllRuns()) {
    this->Notify(run, core::AnswerBy{at});
  }
}

void Dispatcher::CancelAll() {
  for (const auto& run : this->AllRuns()) {
    this->Notify(run, core::CallerDisconnected{});
  }
}

void Dispatcher::RunTimer() {
  while (!this->stopping) {
    std::this_thread::sleep_for(kTimerInterval);
    this->crash_reporter.Tick();
    for (const auto& run : this->AllRuns()) {
      if (run->request.writer->exchange()->caller_disconnected() &&
          !run->request.outlives_caller) {
        this->Notify(run, core::CallerDisconnected{});
      } else {
        this->Notify(run, core::RequestTick{});
      }
    }
  }
}

}  // namespace carawayvalve::entry
