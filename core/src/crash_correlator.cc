#include "carawayvalve/core/crash_correlator.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

// A crashed backend server is found to be down within this time, by the next
// connection or by its entry in the registry.
constexpr std::chrono::seconds kDetectionTime(4);
// Beyond this number the oldest answers are dropped.
constexpr size_t kMaxBrokenAnswers = 512;

}  // namespace

void CrashCorrelator::NoteBrokenAnswer(const base::BackendServerId& id,
                                       const BrokenRequest& request) {
  this->broken_answers.push_back({id, request});
  if (this->broken_answers.size() > kMaxBrokenAnswers) {
    this->broken_answers.pop_front();
  }
}

std::vector<BrokenRequest> CrashCorrelator::TakeRunningRequests(
    const base::BackendServerId& id,
    base::Instant now) {
  std::vector<BrokenRequest> requests;
  for (const BrokenAnswer& answer : this->broken_answers) {
    const bool known = std::any_of(
        requests.begin(), requests.end(), [&](const BrokenRequest& request) {
          return request.content.digest == answer.request.content.digest;
        });
    if (answer.id == id && now - answer.request.broken_at < kDetectionTime &&
        !known) {
      requests.push_back(answer.request);
    }
  }
  std::erase_if(this->broken_answers, [&](const BrokenAnswer& answer) {
    return answer.id == id || now - answer.request.broken_at >= kDetectionTime;
  });
  return requests;
}

}  // namespace carawayvalve::core
