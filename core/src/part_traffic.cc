#include "carawayvalve/core/part_traffic.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace carawayvalve::core {

namespace {

// Shares of fewer requests say little.
constexpr int64_t kMinRequests = 30;
// Beyond these numbers all counts are halved, so that old traffic fades.
constexpr int64_t kMaxRequests = 2000;
constexpr size_t kMaxParts = 4096;
constexpr base::Milliseconds kAnswerInterval(100);
constexpr std::chrono::seconds kAnswerRetention(60);
// An estimate allows for this many standard deviations of a count.
constexpr double kDeviations = 2;

double DeviationOf(int64_t count) {
  return kDeviations * std::sqrt(static_cast<double>(count));
}

}  // namespace

void PartTraffic::NoteRequest(const std::vector<std::string>& parts) {
  ++this->total;
  for (const std::string& part : parts) {
    ++this->counts[part];
  }
  if (this->total <= kMaxRequests && this->counts.size() <= kMaxParts) {
    return;
  }
  this->total /= 2;
  for (auto& [part, count] : this->counts) {
    count /= 2;
  }
  std::erase_if(this->counts,
                [](const auto& entry) { return entry.second == 0; });
}

void PartTraffic::NoteAnswer(base::Instant now) {
  if (this->answers.empty() ||
      now - this->answers.back().first >= kAnswerInterval) {
    this->answers.emplace_back(now, 0);
  }
  ++this->answers.back().second;
  while (now - this->answers.front().first > kAnswerRetention) {
    this->answers.pop_front();
  }
}

int64_t PartTraffic::CountOf(const std::string& part) const {
  const auto found = this->counts.find(part);
  return found == this->counts.end() ? 0 : found->second;
}

double PartTraffic::MaxShareOf(const std::string& part) const {
  if (this->total < kMinRequests) {
    return 1;
  }
  const int64_t count = this->CountOf(part);
  return std::min(1.0, (static_cast<double>(count + 1) + DeviationOf(count)) /
                           static_cast<double>(this->total));
}

double PartTraffic::MinExpectedAnswers(const std::string& part,
                                       base::Instant since) const {
  if (this->total < kMinRequests) {
    return 0;
  }
  int64_t answered = 0;
  for (auto entry = this->answers.rbegin();
       entry != this->answers.rend() && entry->first >= since; ++entry) {
    answered += entry->second;
  }
  const int64_t count = this->CountOf(part);
  const double share =
      std::max(0.0, static_cast<double>(count) - DeviationOf(count)) /
      static_cast<double>(this->total);
  return static_cast<double>(answered) * share;
}

}  // namespace carawayvalve::core
