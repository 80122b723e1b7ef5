#include "carawayvalve/core/part_traffic.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace carawayvalve::core {

namespace {

// Shares of fewer requests say little.
constexpr int64_t kMinRequests = 30;
constexpr int64_t kSteadyRequests = 50;
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

void PartTraffic::CountAnswer(Answers& answers, base::Instant now) {
  if (answers.empty() || now - answers.back().first >= kAnswerInterval) {
    answers.emplace_back(now, 0);
  }
  ++answers.back().second;
  while (now - answers.front().first > kAnswerRetention) {
    answers.pop_front();
  }
}

void PartTraffic::NoteAnswer(const std::vector<std::string>& parts,
                             base::Instant now) {
  CountAnswer(this->answers, now);
  if (parts.empty()) {
    return;
  }
  CountAnswer(this->answers_by_first[parts.front()], now);
  if (this->answers_by_first.size() > kMaxParts) {
    this->answers_by_first.clear();
  }
}

int64_t PartTraffic::CountOf(const std::string& part) const {
  const auto found = this->counts.find(part);
  return found == this->counts.end() ? 0 : found->second;
}

bool PartTraffic::IsSteady() const {
  return this->total >= kSteadyRequests;
}

double PartTraffic::MaxShareOf(const std::string& part) const {
  if (this->total < kMinRequests) {
    return 1;
  }
  const int64_t count = this->CountOf(part);
  return std::min(1.0, (static_cast<double>(count + 1) + DeviationOf(count)) /
                           static_cast<double>(this->total));
}

double PartTraffic::ExpectedAnswers(const std::string& part,
                                    const std::string& first,
                                    base::Instant since) const {
  const bool among_all = part == first;
  const auto of_first = this->answers_by_first.find(first);
  const int64_t requests = among_all ? this->total : this->CountOf(first);
  if (requests == 0 ||
      (!among_all && of_first == this->answers_by_first.end())) {
    return 0;
  }
  const Answers& counted = among_all ? this->answers : of_first->second;
  int64_t answered = 0;
  for (auto entry = counted.rbegin();
       entry != counted.rend() && entry->first >= since; ++entry) {
    answered += entry->second;
  }
  return static_cast<double>(answered) *
         static_cast<double>(this->CountOf(part)) /
         static_cast<double>(requests);
}

}  // namespace carawayvalve::core
