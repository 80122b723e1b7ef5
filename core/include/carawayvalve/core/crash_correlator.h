#ifndef CARAWAYVALVE_CORE_CRASH_CORRELATOR_H_
#define CARAWAYVALVE_CORE_CRASH_CORRELATOR_H_

#include <deque>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Determines which contents were running when a backend server crashed. A
// broken answer alone is no sign of a crash, as answers are also lost in
// transit. It counts if the backend server is found down or restarted shortly
// afterwards.
class CrashCorrelator {
 public:
  // Records that an answer broke off while the content was running.
  void NoteBrokenAnswer(const base::BackendServerId& id,
                        const std::string& content_digest,
                        base::Instant now);

  // Called when the backend server is down or has restarted. Returns the
  // distinct contents that it was running and removes their answers.
  std::vector<std::string> TakeRunningContents(const base::BackendServerId& id,
                                               base::Instant now);

 private:
  struct BrokenAnswer {
    base::BackendServerId id;
    std::string content_digest;
    base::Instant at;
  };

  std::deque<BrokenAnswer> broken_answers;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CRASH_CORRELATOR_H_
