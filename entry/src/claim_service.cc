#include "claim_service.h"

#include <utility>

#include "carawayvalve/base/error.h"
#include "carawayvalve/core/claim_object.h"

namespace carawayvalve::entry {

namespace {

constexpr char kClaimKind[] = "claim";
constexpr size_t kStoreThreads = 8;
constexpr base::Milliseconds kTimerInterval{25};
constexpr size_t kMaxCopyBytes = 256 * 1024;

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

// A request with its claim. `mutex` guards `flow`.
struct ClaimService::ClaimedRequest {
  ClaimedRequest(const AdmittedRequest& request,
                 std::string name,
                 const core::ClaimOptions& options)
      : request(request), name(std::move(name)), flow(options) {}

  const AdmittedRequest request;
  const std::string name;
  std::mutex mutex;
  core::ClaimFlow flow;
};

// Executes one action of a claim's flow. The request's mutex must be held.
struct ClaimService::ActionExecutor {
  ClaimService& service;
  const std::shared_ptr<ClaimedRequest>& claimed;

  void operator()(const core::WriteClaim& action) const {
    this->service.pool.Post(
        [&service = this->service, claimed = this->claimed, action] {
          service.Notify(claimed, service.Write(*claimed, action));
        });
  }

  void operator()(const core::ReadClaim&) const {
    this->service.pool.Post(
        [&service = this->service, claimed = this->claimed] {
          service.Notify(claimed, service.Read(*claimed));
        });
  }

  void operator()(const core::RunRequest&) const {
    AdmittedRequest request = this->claimed->request;
    request.outlives_caller = true;
    request.writer->KeepCopy(kMaxCopyBytes);
    request.on_finish = [&service = this->service, claimed = this->claimed](
                            const core::FinishRequest& finish) {
      if (claimed->request.on_finish) {
        claimed->request.on_finish(finish);
      }
      // The dispatcher holds the run's lock here, so the claim continues on
      // another thread.
      service.pool.Post([&service, claimed, finish] {
        if (!finish.whole && finish.failure == core::FailureKind::kNotRun) {
          service.Notify(claimed, core::ClaimedRequestNotRun{});
        } else {
          service.Notify(
              claimed,
              core::ClaimedRequestFinished{
                  finish.whole ? claimed->request.writer->Copy() : std::nullopt,
                  finish.reason});
        }
      });
    };
    this->service.dispatcher.Start(request);
  }

  void operator()(const core::ReplayAnswer& action) const {
    for (const core::AnswerRecord& record : core::RecordsOf(action.answer)) {
      this->claimed->request.writer->Write(record);
    }
    this->Finish(core::FinishRequest{.whole = true, .reason = {}});
  }

  void operator()(const core::RefuseRequest& action) const {
    this->claimed->request.writer->Refuse(ToProblem(action));
    if (this->claimed->request.on_finish) {
      this->claimed->request.on_finish(
          core::FinishRequest{.whole = false, .reason = action.reason});
    }
  }

  void Finish(const core::FinishRequest& finish) const {
    this->claimed->request.writer->Finish(finish);
    if (this->claimed->request.on_finish) {
      this->claimed->request.on_finish(finish);
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
  const auto claimed = std::make_shared<ClaimedRequest>(
      request, core::ClaimName(request.client_account, idempotency_key),
      options);
  {
    const std::lock_guard lock(this->mutex);
    this->claimed_requests.insert(claimed);
  }
  const std::lock_guard lock(claimed->mutex);
  this->Perform(claimed, claimed->flow.Begin(base::Now()));
}

void ClaimService::Notify(const std::shared_ptr<ClaimedRequest>& claimed,
                          const core::ClaimEvent& event) {
  bool done = false;
  {
    const std::lock_guard lock(claimed->mutex);
    this->Perform(claimed, claimed->flow.Step(event, base::Now()));
    done = claimed->flow.done();
  }
  if (done) {
    const std::lock_guard lock(this->mutex);
    this->claimed_requests.erase(claimed);
  }
}

void ClaimService::Perform(const std::shared_ptr<ClaimedRequest>& claimed,
                           const std::vector<core::ClaimAction>& actions) {
  for (const core::ClaimAction& action : actions) {
    std::visit(ActionExecutor{*this, claimed}, action);
  }
}

core::ClaimEvent ClaimService::Write(const ClaimedRequest& claimed,
                                     const core::WriteClaim& action) const {
  try {
    const systems::UpdateResult result =
        this->store.Put(kClaimKind, claimed.name,
                        core::EncodeClaim(action.object), action.if_version);
    return core::ClaimWritten{result.done, result.version};
  } catch (const base::NotReachedError&) {
    return core::ClaimWriteNotSent{};
  } catch (const base::Error&) {
    return core::ClaimWriteUncertain{};
  }
}

core::ClaimEvent ClaimService::Read(const ClaimedRequest& claimed) const {
  try {
    const auto object = this->store.Get(kClaimKind, claimed.name);
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
    std::set<std::shared_ptr<ClaimedRequest>> snapshot;
    {
      const std::lock_guard lock(this->mutex);
      snapshot = this->claimed_requests;
    }
    for (const std::shared_ptr<ClaimedRequest>& claimed : snapshot) {
      this->Notify(claimed, core::ClaimTick{});
    }
  }
}

}  // namespace carawayvalve::entry
