#ifndef CARAWAYVALVE_CORE_CRASH_CORRELATOR_H_
#define CARAWAYVALVE_CORE_CRASH_CORRELATOR_H_

#include <deque>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Tells which contents were running when a backend server died. A broken
// answer alone is no death: answers are lost on the way, too. It is one if the
// backend server turns out to be down or started anew shortly after.
class CrashCorrelator {
 public:
  // An answer broke off in mid-run.
  void NoteBrokenAnswer(const base::BackendServerId& id,
                  const std::string& content_digest,
                  base::Instant now);

  // The backend server is down, or has started anew. Returns the contents
  // that it was running, each once.
  std::vector<std::string> TakeRunningContents(const base::BackendServerId& id,
                                       base::Instant now);

 private:
  struct Broken {
    base::BackendServerId id;
    std::string content_digest;
    base::Instant at;
  };

  std::deque<Broken> broken;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CRASH_CORRELATOR_H_
