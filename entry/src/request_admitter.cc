#include "request_admitter.h"

#include <algorithm>
#include <utility>

namespace carawayvalve::entry {

namespace {

constexpr int64_t kPlainCostTokens = 100;
constexpr size_t kMaxIdempotencyKeyBytes = 255;
constexpr base::Milliseconds kDefaultCompletionDeadline{120000};
constexpr base::Milliseconds kRetryAfterNotReady{1000};

std::string Join(const std::vector<std::string>& methods) {
  std::string joined;
  for (const std::string& allowed_method : methods) {
    joined += (joined.empty() ? "" : ", ") + allowed_method;
  }
  return joined;
}

bool IsCompletionPath(const std::string& path) {
  return path == kChatPath || path == kCompletionsPath;
}

wire::gen::PlainCall ToCall(const CallerRequest& request) {
  wire::gen::PlainCall call;
  call.method = request.method;
  call.target = request.target;
  call.body = request.body;
  for (const auto& [name, value] : ForwardedHeaders(request.headers)) {
    wire::gen::Header header;
    header.name = name;
    header.value = value;
    call.headers.push_back(header);
  }
  return call;
}

wire::gen::ModelCall ToCall(const CompletionRequest& request) {
  wire::gen::ModelCall call;
  call.model = request.model.value;
  call.prompt = request.prompt;
  call.max_tokens = request.max_tokens;
  call.tokens_so_far = 0;
  call.priority = 0;
  return call;
}

// Returns the part of a configuration that agents need. Accounts that aren't
// listed have weight 1.
wire::gen::AgentConfiguration AgentConfigurationOf(
    const config::Configuration& configuration) {
  wire::gen::AgentConfiguration agent_configuration;
  agent_configuration.generation = configuration.generation;
  agent_configuration.max_queued_per_account =
      configuration.declaration.limits.max_queued_per_account;
  for (const config::ClientAccount& account :
       configuration.declaration.client_accounts) {
    if (account.weight != 1) {
      agent_configuration.account_weights[account.name.value] = account.weight;
    }
  }
  return agent_configuration;
}

// Turns the result of RouteTable::Match into a route or a problem.
struct RouteOrProblem {
  using Result = std::variant<config::Route, Problem>;

  Result operator()(const core::RouteFound& found) const { return found.route; }
  Result operator()(const core::NoSuchPath& miss) const {
    return Problem{
        .status = 404, .title = "No such route", .detail = miss.reason};
  }
  Result operator()(const core::MethodNotAllowed& miss) const {
    return Problem{.status = 405,
                   .title = "Method not allowed",
                   .detail = "allowed here: " + Join(miss.allowed),
                   .allow = Join(miss.allowed)};
  }
};

}  // namespace

RequestAdmitter::RequestAdmitter(Dispatcher& dispatcher,
                                 TrafficControl& control,
                                 ClaimService& claims,
                                 EntryMetrics& metrics,
                                 IsFresh is_fresh)
    : dispatcher(dispatcher),
      control(control),
      claims(claims),
      metrics(metrics),
      is_fresh(std::move(is_fresh)) {}

void RequestAdmitter::Activate(
    const std::shared_ptr<const config::Configuration>& configuration) {
  const auto next = std::make_shared<const ActiveConfiguration>(configuration);
  {
    const std::lock_guard lock(this->mutex);
    this->active_configuration = next;
  }
  this->control.SetAccounts(next->configuration->declaration.client_accounts);
  this->dispatcher.SetAgentConfiguration(
      AgentConfigurationOf(*next->configuration));
  this->dispatcher.RefuseWithdrawn([&](const AdmittedRequest& request) {
    return !request.key_sha256.empty() &&
           next->keys.AccountOfDigest(request.key_sha256) !=
               request.client_account;
  });
}

void RequestAdmitter::BeginStop(base::Duration balancer_delay,
                                base::Duration time_to_end) {
  {
    const std::lock_guard lock(this->mutex);
    this->stop.Begin(balancer_delay, time_to_end, base::Now());
  }
  this->dispatcher.AnswerAllBy(this->AnswerBy());
}

base::Instant RequestAdmitter::AnswerBy() const {
  const std::lock_guard lock(this->mutex);
  return this->stop.AnswerBy(base::Instant::max());
}

std::shared_ptr<const ActiveConfiguration> RequestAdmitter::Active() const {
  const std::lock_guard lock(this->mutex);
  return this->active_configuration;
}

void RequestAdmitter::Handle(const CallerRequest& request,
                             const std::shared_ptr<Exchange>& exchange) {
  const base::RequestId id{base::RandomName()};
  const std::shared_ptr<const ActiveConfiguration> active = this->Active();
  std::variant<AdmittedRequest, Problem> result =
      Problem{.status = 503,
              .title = "Not ready",
              .detail = "no configuration has been read yet",
              .retry_after = kRetryAfterNotReady};
  if (active != nullptr) {
    result = this->Admit(*active, id, request, exchange);
  }
  if (auto* admitted = std::get_if<AdmittedRequest>(&result)) {
    const std::optional<Problem> problem = this->Begin(request, *admitted);
    if (!problem) {
      return;
    }
    result = *problem;
  }
  const auto& problem = std::get<Problem>(result);
  this->metrics.CountRefusal(problem.status);
  exchange->Answer(ProblemHead(problem, id), ProblemBody(problem, id));
}

std::optional<Problem> RequestAdmitter::Begin(const CallerRequest& request,
                                              AdmittedRequest& admitted) {
  const std::string key = FindHeader(request.headers, kIdempotencyHeader);
  if (!key.empty() && admitted.key_sha256.empty()) {
    return BadRequest("an open route takes no Idempotency-Key");
  }
  if (key.size() > kMaxIdempotencyKeyBytes) {
    return BadRequest("the Idempotency-Key may have " +
                      std::to_string(kMaxIdempotencyKeyBytes) +
                      " bytes at most");
  }
  if (auto problem = this->CheckStop(admitted)) {
    return problem;
  }
  admitted.options.deadline =
      std::min(admitted.options.deadline,
               this->AnswerBy() - admitted.options.settle_time);
  if (auto problem = this->CheckLimits(admitted)) {
    return problem;
  }
  const base::Instant started_at = base::Now();
  admitted.on_finish = [count = this->metrics.TrackRequest(admitted.service),
                        &control = this->control,
                        account = admitted.client_account,
                        started_at](const core::FinishRequest& finish) {
    count(finish);
    control.Release(account, base::Now() - started_at);
  };
  if (key.empty()) {
    this->dispatcher.Start(admitted);
  } else {
    const std::string content =
        request.method + " " + request.target + "\n" + request.body;
    this->claims.Begin(admitted, key, base::Sha256(content));
  }
  return std::nullopt;
}

std::optional<Problem> RequestAdmitter::CheckStop(
    const AdmittedRequest& request) const {
  const std::lock_guard lock(this->mutex);
  if (this->stop.MayTake(request.options.deadline, base::Now())) {
    return std::nullopt;
  }
  return Problem{.status = 503,
                 .title = "Stopping",
                 .detail = "this process stops before the deadline"};
}

std::optional<Problem> RequestAdmitter::CheckLimits(
    const AdmittedRequest& request) const {
  const core::AdmissionResult result = this->control.Admit(
      request.client_account,
      this->dispatcher.fleet().ExpectedWait(RoutingQueryFor(request)),
      request.options.deadline);
  const auto* refusal = std::get_if<core::NotAdmitted>(&result);
  if (refusal == nullptr) {
    return std::nullopt;
  }
  const bool account_limit =
      refusal->refusal == core::AdmissionRefusal::kAccountLimit;
  return Problem{.status = account_limit ? 429 : 503,
                 .title = account_limit ? "Too many requests" : "Overloaded",
                 .detail = refusal->reason,
                 .retry_after = refusal->retry_after};
}

std::variant<AdmittedRequest, Problem> RequestAdmitter::Admit(
    const ActiveConfiguration& active,
    const base::RequestId& id,
    const CallerRequest& request,
    const std::shared_ptr<Exchange>& exchange) const {
  const auto deadline = ParseDeadline(
      request.headers,
      base::Milliseconds(
          active.configuration->declaration.limits.max_deadline_ms));
  if (const auto* problem = std::get_if<Problem>(&deadline)) {
    return *problem;
  }
  auto result = IsCompletionPath(request.path)
                    ? this->AdmitCompletion(active, id, request, exchange)
                    : this->AdmitPlain(active, id, request, exchange);
  const auto& caller_deadline =
      std::get<std::optional<base::Milliseconds>>(deadline);
  if (auto* admitted = std::get_if<AdmittedRequest>(&result);
      admitted != nullptr && caller_deadline) {
    admitted->options.deadline = base::Now() + *caller_deadline;
  }
  return result;
}

std::variant<AdmittedRequest, Problem> RequestAdmitter::AdmitCompletion(
    const ActiveConfiguration& active,
    const base::RequestId& id,
    const CallerRequest& request,
    const std::shared_ptr<Exchange>& exchange) const {
  if (request.method != "POST") {
    return Problem{.status = 405,
                   .title = "Method not allowed",
                   .detail = "allowed here: POST",
                   .allow = "POST"};
  }
  const CallerOrProblem caller = this->Identify(active, request);
  if (const auto* problem = std::get_if<Problem>(&caller)) {
    return *problem;
  }
  const auto parsed = ParseCompletion(request.path, request.body);
  if (const auto* problem = std::get_if<Problem>(&parsed)) {
    return *problem;
  }
  const auto& completion = std::get<CompletionRequest>(parsed);
  const auto service = active.routes.ServiceOfModel(completion.model);
  if (!service) {
    return Problem{
        .status = 404,
        .title = "No such model",
        .detail = "no service has the model '" + completion.model.value + "'"};
  }
  AdmittedRequest admitted;
  admitted.id = id;
  admitted.client_account = std::get<Caller>(caller).client_account;
  admitted.key_sha256 = std::get<Caller>(caller).key_sha256;
  admitted.service = service->name;
  admitted.options.idempotent = true;
  admitted.options.continuable = true;
  admitted.options.deadline = base::Now() + kDefaultCompletionDeadline;
  admitted.call = ToCall(completion);
  admitted.content = {
      core::ContentDigest(admitted.client_account, completion.prompt),
      completion.shared_parts};
  admitted.prompt_tokens = core::CountTokens(completion.prompt);
  admitted.prefix_hashes = core::PrefixHashes(completion.prompt);
  admitted.cost_tokens = admitted.prompt_tokens + completion.max_tokens;
  admitted.writer = std::make_shared<AnswerWriter>(
      id, CompletionFormat{completion}, exchange);
  return admitted;
}

std::variant<AdmittedRequest, Problem> RequestAdmitter::AdmitPlain(
    const ActiveConfiguration& active,
    const base::RequestId& id,
    const CallerRequest& request,
    const std::shared_ptr<Exchange>& exchange) const {
  const auto match = std::visit(
      RouteOrProblem(), active.routes.Match(FindHeader(request.headers, "Host"),
                                            request.target, request.method));
  if (const auto* problem = std::get_if<Problem>(&match)) {
    return *problem;
  }
  const auto& route = std::get<config::Route>(match);
  AdmittedRequest admitted;
  if (!route.open) {
    const CallerOrProblem caller = this->Identify(active, request);
    if (const auto* problem = std::get_if<Problem>(&caller)) {
      return *problem;
    }
    admitted.client_account = std::get<Caller>(caller).client_account;
    admitted.key_sha256 = std::get<Caller>(caller).key_sha256;
  }
  admitted.id = id;
  admitted.service = route.service;
  admitted.options.idempotent = core::MayRepeat(route, request.method);
  admitted.options.deadline =
      base::Now() + base::Milliseconds(route.deadline_ms);
  admitted.call = ToCall(request);
  admitted.content = {core::ContentDigest(admitted.client_account,
                                          request.target + request.body),
                      {}};
  admitted.cost_tokens = kPlainCostTokens;
  admitted.writer = std::make_shared<AnswerWriter>(id, PlainFormat{}, exchange);
  return admitted;
}

RequestAdmitter::CallerOrProblem RequestAdmitter::Identify(
    const ActiveConfiguration& active,
    const CallerRequest& request) const {
  const auto bearer = ParseBearerKey(request.headers);
  if (const auto* problem = std::get_if<Problem>(&bearer)) {
    return *problem;
  }
  const auto& key = std::get<std::optional<std::string>>(bearer);
  if (!key) {
    return Problem{.status = 401,
                   .title = "Unauthorized",
                   .detail = "an 'Authorization: Bearer KEY' header is needed"};
  }
  if (!this->is_fresh()) {
    return Problem{.status = 503,
                   .title = "Not ready",
                   .detail = "this process can't tell which keys are withdrawn",
                   .retry_after = kRetryAfterNotReady};
  }
  const std::string digest = base::Sha256(*key);
  const auto account = active.keys.AccountOfDigest(digest);
  if (!account) {
    return Problem{.status = 401,
                   .title = "Unauthorized",
                   .detail = "the key is unknown or was withdrawn"};
  }
  return Caller{*account, digest};
}

}  // namespace carawayvalve::entry
