#ifndef CARAWAYVALVE_CORE_CRASH_CORRELATOR_H_
#define CARAWAYVALVE_CORE_CRASH_CORRELATOR_H_

#include <deque>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"
#include "carawayvalve/core/poison_request_tracker.h"

namespace carawayvalve::core {

// A request whose answer broke off.
struct BrokenRequest {
  base::RequestId id;
  RequestContent content;
  // Number of events received before the break.
  int64_t events = 0;
  // The start of the backend server's run, in Unix milliseconds.
  int64_t backend_started_ms = 0;
  base::Instant broken_at;

  bool operator==(const BrokenRequest&) const = default;
};

// Determines which requests were running when a backend server crashed. A
// broken answer alone is no sign of a crash, as answers are also lost in
// transit. It counts if the backend server is found down or restarted shortly
// afterwards.
class CrashCorrelator {
 public:
  // Records that the answer to the request broke off.
  void NoteBrokenAnswer(const base::BackendServerId& id,
                        const BrokenRequest& request);

  // Called when the backend server is down or has restarted. Returns the
  // requests that it was running, one of each content, and removes them.
  std::vector<BrokenRequest> TakeRunningRequests(
      const base::BackendServerId& id,
      base::Instant now);

 private:
  struct BrokenAnswer {
    base::BackendServerId id;
    BrokenRequest request;
  };

  std::deque<BrokenAnswer> broken_answers;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CRASH_CORRELATOR_H_
