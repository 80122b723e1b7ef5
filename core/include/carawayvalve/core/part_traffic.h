#ifndef CARAWAYVALVE_CORE_PART_TRAFFIC_H_
#define CARAWAYVALVE_CORE_PART_TRAFFIC_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Counts how often the parts of requests occur in the traffic, and how many
// requests are answered, to tell whether it is chance that backend servers
// crashed while they ran a part, or that a part isn't answered.
class PartTraffic {
 public:
  // Records a request with these parts.
  void NoteRequest(const std::vector<std::string>& parts);
  // Records that a request with any parts was answered completely.
  void NoteAnswer(base::Instant now);

  // Returns a high estimate of the part's share of the requests, from 0 to 1; 1
  // while too few requests are known.
  double MaxShareOf(const std::string& part) const;
  // Returns a low estimate of how many requests with the part would have been
  // answered since then if they were answered like others.
  double MinExpectedAnswers(const std::string& part, base::Instant since) const;

 private:
  int64_t CountOf(const std::string& part) const;

  std::unordered_map<std::string, int64_t> counts;
  int64_t total = 0;
  // Numbers of answers by the time of the first of each interval.
  std::deque<std::pair<base::Instant, int64_t>> answers;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_PART_TRAFFIC_H_
