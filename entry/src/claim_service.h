#ifndef CARAWAYVALVE_ENTRY_SRC_CLAIM_SERVICE_H_
#define CARAWAYVALVE_ENTRY_SRC_CLAIM_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/core/claim_flow.h"
#include "carawayvalve/systems/object_api.h"
#include "dispatcher.h"
#include "worker_pool.h"

namespace carawayvalve::entry {

// Runs requests with an Idempotency-Key at most once across all entry
// processes: each request claims its key in the store before it is dispatched.
class ClaimService {
 public:
  // Returns whether a run of an entry process is known to have terminated.
  using IsTerminated = std::function<bool(const base::BootId&)>;

  ClaimService(const systems::ObjectApi& store,
               const base::BootId& entry,
               Dispatcher& dispatcher,
               IsTerminated is_terminated);
  // Waits until the answers of requests that have run are stored, or the store
  // fails to answer.
  ~ClaimService();

  // Claims the key and then dispatches the request, replays an earlier answer,
  // or refuses the request.
  void Begin(const AdmittedRequest& request,
             const std::string& idempotency_key,
             const std::string& body_digest);

 private:
  struct ClaimedRequest;
  struct ActionExecutor;

  void Notify(const std::shared_ptr<ClaimedRequest>& claimed,
              const core::ClaimEvent& event);
  void Perform(const std::shared_ptr<ClaimedRequest>& claimed,
               const std::vector<core::ClaimAction>& actions);
  // These call the store and block; they run on the pool's threads.
  core::ClaimEvent Write(const ClaimedRequest& claimed,
                         const core::WriteClaim& action) const;
  core::ClaimEvent Read(const ClaimedRequest& claimed) const;
  void RunTimer();

  systems::ObjectApi store;
  base::BootId entry;
  Dispatcher& dispatcher;
  IsTerminated is_terminated;
  std::mutex mutex;
  std::set<std::shared_ptr<ClaimedRequest>> claimed_requests;
  std::atomic<bool> stopping = false;
  std::thread timer;
  WorkerPool pool;
};

}  // namespace carawayvalve::entry

#endif  // CARAWAYVALVE_ENTRY_SRC_CLAIM_SERVICE_H_
