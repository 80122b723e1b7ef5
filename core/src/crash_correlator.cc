#include "carawayvalve/core/crash_correlator.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

// A backend server that died is seen to be down within this time, by the next
// connection or by its entry in the registry.
constexpr std::chrono::seconds kEvidenceTime(4);
// Beyond these the oldest are forgotten.
constexpr size_t kMaxBroken = 512;

}  // namespace

void CrashCorrelator::NoteBrokenAnswer(const base::BackendServerId& id,
                               const std::string& content_digest,
                               base::Instant now) {
  this->broken.push_back({id, content_digest, now});
  if (this->broken.size() > kMaxBroken) {
    this->broken.pop_front();
  }
}

std::vector<std::string> CrashCorrelator::TakeRunningContents(
    const base::BackendServerId& id,
    base::Instant now) {
  std::vector<std::string> victims;
  for (const Broken& one : this->broken) {
    const bool known = std::find(victims.begin(), victims.end(),
                                 one.content_digest) != victims.end();
    if (one.id == id && now - one.at < kEvidenceTime && !known) {
      victims.push_back(one.content_digest);
    }
  }
  std::erase_if(this->broken, [&](const Broken& one) {
    return one.id == id || now - one.at >= kEvidenceTime;
  });
  return victims;
}

}  // namespace carawayvalve::core
