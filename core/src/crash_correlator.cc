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
                                       const std::string& content_digest,
                                       base::Instant now) {
  this->broken_answers.push_back({id, content_digest, now});
  if (this->broken_answers.size() > kMaxBrokenAnswers) {
    this->broken_answers.pop_front();
  }
}

std::vector<std::string> CrashCorrelator::TakeRunningContents(
    const base::BackendServerId& id,
    base::Instant now) {
  std::vector<std::string> contents;
  for (const BrokenAnswer& answer : this->broken_answers) {
    const bool known = std::find(contents.begin(), contents.end(),
                                 answer.content_digest) != contents.end();
    if (answer.id == id && now - answer.at < kDetectionTime && !known) {
      contents.push_back(answer.content_digest);
    }
  }
  std::erase_if(this->broken_answers, [&](const BrokenAnswer& answer) {
    return answer.id == id || now - answer.at >= kDetectionTime;
  });
  return contents;
}

}  // namespace carawayvalve::core
