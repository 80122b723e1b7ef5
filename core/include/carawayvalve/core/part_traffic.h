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
  // Records that a request with these parts was answered completely.
  void NoteAnswer(const std::vector<std::string>& parts, base::Instant now);

  // Sets the number of processes among which the traffic is spread. A part that
  // any of them has answered isn't suspected here.
  void SetProcessCount(int64_t count) { this->processes = count; }
  double process_count() const { return static_cast<double>(this->processes); }

  // Returns whether enough requests are known that most parts in use have been
  // answered.
  bool IsSteady() const;
  // Returns a high estimate of the part's share of the requests, from 0 to 1; 1
  // while too few requests are known.
  double MaxShareOf(const std::string& part) const;
  // Returns how many requests with the part would have been answered since then
  // if they were answered like others. Others are those that begin with the
  // part `first`, as requests of another kind may be served better or worse;
  // all if it is the part itself.
  double ExpectedAnswers(const std::string& part,
                         const std::string& first,
                         base::Instant since) const;

 private:
  int64_t CountOf(const std::string& part) const;

  std::unordered_map<std::string, int64_t> counts;
  int64_t total = 0;
  int64_t processes = 1;
  // Numbers of answers by the time of the first of each interval.
  using Answers = std::deque<std::pair<base::Instant, int64_t>>;

  static void CountAnswer(Answers& answers, base::Instant now);

  Answers answers;
  // The same by the first part of the request.
  std::unordered_map<std::string, Answers> answers_by_first;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_PART_TRAFFIC_H_
