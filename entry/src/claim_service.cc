#include "claim_service.h"

#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/core/claim_object.h"

namespace carawayvalve::entry {

namespace {

constexpr char kClaimKind[] = "claim";
constexpr size_t kStoreThreads = 8;
constexpr base::Milliseconds kTimerInterval{25};
constexpr size_t kMostCopyBytes = 256 * 1024;

Problem ToProblem(const core::RefuseRequest& refusal) {
  Problem problem;
  problem.detail = refusal.reason;
  problem.retry_after = refusal.retry_after;
  problem.status = 409;
  problem.outcome = Outcome::kNotRun;
  switch (refusal.refusal) {
    case core::ClaimRefusal::kNotRun:
      problem.status = 503;
      problem.title = "Not run";
      break;
    case core::ClaimRefusal::kInProgress:
      problem.title = "In progress";
      break;
    case core::ClaimRefusal::kRequestMismatch:
      problem.status = 422;
      problem.title = "Idempotency-Key used before";
      break;
    case core::ClaimRefusal::kUnknownOutcome:
    case core::ClaimRefusal::kAnswerNotKept:
      problem.title = "Ran before";
      problem.outcome = Outcome::kUnknownOutcome;
      break;
  }
  return problem;
}

}  // namespace

// One request with its claim. `mutex` guards the flow.
struct ClaimService::Call {
  Call(const AdmittedRequest& request,
       std::string name,
       const core::ClaimOptions& options)
      : request(request), name(std::move(name)), flow(options) {}

  const AdmittedRequest request;
  const std::string name;
  std::mutex mutex;
  core::ClaimFlow flow;
};

// Carries out what a claim decides; the call is locked.
struct ClaimService::Performer {
  ClaimService& service;
  const std::shared_ptr<Call>& call;

  void operator()(const core::WriteClaim& action) const {
    this->service.pool.Post(
        [&service = this->service, call = this->call, action] {
          service.Notify(call, service.Write(*call, action));
        });
  }

  void operator()(const core::ReadClaim&) const {
    this->service.pool.Post([&service = this->service, call = this->call] {
      service.Notify(call, service.Read(*call));
    });
  }

  void operator()(const core::RunRequest&) const {
    AdmittedRequest request = this->call->request;
    request.outlives_caller = true;
    request.writer->KeepCopy(kMostCopyBytes);
    request.on_finish = [&service = this->service,
                         call = this->call](const core::FinishRequest& finish) {
      if (call->request.on_finish) {
        call->request.on_finish(finish);
      }
      // The run is locked here; the claim goes on without it.
      service.pool.Post([&service, call, finish] {
        if (!finish.whole && finish.failure == core::FailureKind::kNotRun) {
          service.Notify(call, core::ClaimedRequestNotRun{});
        } else {
          service.Notify(call, core::ClaimedRequestFinished{
                                 finish.whole ? call->request.writer->Copy()
                                              : std::nullopt,
                                 finish.reason});
        }
      });
    };
    this->service.dispatcher.Start(request);
  }

  void operator()(const core::ReplayAnswer& action) const {
    for (const core::AnswerRecord& record : core::RecordsOf(action.answer)) {
      this->call->request.writer->Write(record);
    }
    this->Finish(core::FinishRequest{.whole = true, .reason = {}});
  }

  void operator()(const core::RefuseRequest& action) const {
    this->call->request.writer->Refuse(ToProblem(action));
    if (this->call->request.on_finish) {
      this->call->request.on_finish(
          core::FinishRequest{.whole = false, .reason = action.reason});
    }
  }

  void Finish(const core::FinishRequest& finish) const {
    this->call->request.writer->Finish(finish);
    if (this->call->request.on_finish) {
      this->call->request.on_finish(finish);
    }
  }
};

ClaimService::ClaimService(const systems::ObjectApi& store,
                           const base::BootId& entry,
                           Dispatcher& dispatcher,
                           IsTerminated is_terminated)
    : store(store),
      entry(entry),
      dispatcher(dispatcher),
      is_terminated(std::move(is_terminated)),
      pool(kStoreThreads) {
  this->timer = std::thread([this] { this->RunTimer(); });
}

ClaimService::~ClaimService() {
  this->stopping = true;
  this->timer.join();
}

void ClaimService::Begin(const AdmittedRequest& request,
                         const std::string& idempotency_key,
                         const std::string& body_digest) {
  core::ClaimOptions options;
  options.writer = this->entry;
  options.nonce = base::RandomName();
  options.body_digest = body_digest;
  options.deadline = request.options.deadline;
  const auto call = std::make_shared<Call>(
      request, core::ClaimName(request.client_account, idempotency_key), options);
  {
    const std::lock_guard lock(this->mutex);
    this->calls.insert(call);
  }
  const std::lock_guard lock(call->mutex);
  this->Perform(call, call->flow.Begin(base::Now()));
}

void ClaimService::Notify(const std::shared_ptr<Call>& call,
                        const core::ClaimEvent& event) {
  bool done = false;
  {
    const std::lock_guard lock(call->mutex);
    this->Perform(call, call->flow.Step(event, base::Now()));
    done = call->flow.done();
  }
  if (done) {
    const std::lock_guard lock(this->mutex);
    this->calls.erase(call);
  }
}

void ClaimService::Perform(const std::shared_ptr<Call>& call,
                           const std::vector<core::ClaimAction>& actions) {
  for (const core::ClaimAction& action : actions) {
    std::visit(Performer{*this, call}, action);
  }
}

core::ClaimEvent ClaimService::Write(const Call& call,
                                     const core::WriteClaim& action) const {
  try {
    const systems::UpdateResult result =
        this->store.Put(kClaimKind, call.name, core::EncodeClaim(action.object),
                        action.if_version);
    return core::ClaimWritten{result.done, result.version};
  } catch (const base::NotReachedError&) {
    return core::ClaimWriteNotSent{};
  } catch (const base::Error&) {
    return core::ClaimWriteUncertain{};
  }
}

core::ClaimEvent ClaimService::Read(const Call& call) const {
  try {
    const auto object = this->store.Get(kClaimKind, call.name);
    core::ClaimRead read;
    if (object) {
      read.object = core::DecodeClaim(object->value);
      read.version = object->version;
      read.writer_terminated = this->is_terminated(read.object->writer);
    }
    return read;
  } catch (const base::Error&) {
    return core::ClaimReadFailed{};
  }
}

void ClaimService::RunTimer() {
  while (!this->stopping) {
    std::this_thread::sleep_for(kTimerInterval);
    std::set<std::shared_ptr<Call>> present;
    {
      const std::lock_guard lock(this->mutex);
      present = this->calls;
    }
    for (const std::shared_ptr<Call>& call : present) {
      this->Notify(call, core::ClaimTick{});
    }
  }
}

}  // namespace carawayvalve::entry
