#include "carawayvalve/core/poison_parts.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>

namespace carawayvalve::core {

namespace {

// Crashes within this time of each other may have one cause outside the
// requests, such as the loss of a rack.
constexpr base::Milliseconds kSameCauseTime(100);
// Crashes at the same time are blamed on a part that all these backend servers
// ran if that is at most this probable by chance, and also if it hasn't been
// answered since, taken together, at most that.
constexpr double kMaxCoincidence = 0.05;
constexpr double kMaxChance = 0.001;

// A part that may have caused crashes.
struct Suspect {
  // When each of its crashes happened, by crash.
  std::map<std::string, base::Instant> crashes;
  // The furthest position in a prompt.
  size_t depth = 0;
  // The epoch of the clock if it was never served.
  base::Instant served_at;
};

using Suspects = std::map<std::string, Suspect>;

// What is known of one crash.
struct Crash {
  // When it was first noticed.
  base::Instant at;
  // The first crash at about the same time.
  base::Instant moment;
  // Number of requests that may have been its cause.
  size_t requests = 0;
};

using Crashes = std::map<std::string, Crash>;

Crashes CollectCrashes(const std::vector<CrashEvidence>& evidence) {
  Crashes crashes;
  for (const CrashEvidence& request : evidence) {
    Crash& crash =
        crashes.try_emplace(request.crash_id, Crash{request.crashed_at, {}, 0})
            .first->second;
    crash.at = std::min(crash.at, request.crashed_at);
    ++crash.requests;
  }
  std::vector<Crash*> by_time;
  for (auto& [id, crash] : crashes) {
    by_time.push_back(&crash);
  }
  std::sort(
      by_time.begin(), by_time.end(),
      [](const Crash* one, const Crash* other) { return one->at < other->at; });
  base::Instant moment;
  for (Crash* crash : by_time) {
    if (crash == by_time.front() || crash->at - moment >= kSameCauseTime) {
      moment = crash->at;
    }
    crash->moment = moment;
  }
  return crashes;
}

Suspects CollectSuspects(const std::vector<CrashEvidence>& evidence,
                         const Crashes& crashes,
                         const std::map<std::string, base::Instant>& served) {
  Suspects suspects;
  for (const CrashEvidence& request : evidence) {
    const base::Instant crashed_at = crashes.at(request.crash_id).at;
    for (size_t i = 0; i < request.parts.size(); ++i) {
      const auto found = served.find(request.parts[i]);
      const base::Instant served_at =
          found == served.end() ? base::Instant() : found->second;
      if (crashed_at <= served_at) {
        continue;
      }
      Suspect& suspect = suspects[request.parts[i]];
      suspect.crashes[request.crash_id] = crashed_at;
      suspect.depth = std::max(suspect.depth, i);
      suspect.served_at = served_at;
    }
  }
  return suspects;
}

PoisonPart Summarize(const Suspect& suspect) {
  std::vector<base::Instant> times;
  for (const auto& [crash, at] : suspect.crashes) {
    times.push_back(at);
  }
  std::sort(times.begin(), times.end());
  PoisonPart part;
  for (const base::Instant at : times) {
    if (part.crashes == 0 || at - part.last_crash >= kSameCauseTime) {
      ++part.crashes;
      part.last_crash = at;
    }
  }
  return part;
}

// Returns how probable it is, at most, that backend servers which crashed for
// another reason ran the part, and that it hasn't been answered since; 1 if one
// of them crashed without it.
double ProbabilityOfChance(const std::string& part,
                           const Suspect& suspect,
                           const Crashes& crashes,
                           const PartTraffic& traffic) {
  const double share = traffic.MaxShareOf(part);
  std::set<base::Instant> moments;
  for (const auto& [id, at] : suspect.crashes) {
    moments.insert(crashes.at(id).moment);
  }
  double probability = 1;
  base::Instant last;
  for (const auto& [id, crash] : crashes) {
    if (!moments.contains(crash.moment)) {
      continue;
    }
    if (!suspect.crashes.contains(id)) {
      return 1;
    }
    probability *= 1 - std::pow(1 - share, static_cast<double>(crash.requests));
    last = std::max(last, crash.at);
  }
  return probability > kMaxCoincidence
             ? 1
             : probability * std::exp(-traffic.MinExpectedAnswers(part, last));
}

// Counts crashes at the same moment one by one if they aren't chance.
PoisonPart Judge(const std::string& part,
                 const Suspect& suspect,
                 const Crashes& crashes,
                 const PartTraffic& traffic) {
  PoisonPart judged = Summarize(suspect);
  if (judged.crashes < kCrashesToBlame &&
      suspect.crashes.size() >= kCrashesToBlame &&
      ProbabilityOfChance(part, suspect, crashes, traffic) <= kMaxChance) {
    judged.crashes = suspect.crashes.size();
  }
  return judged;
}

// Removes the suspects that can't be blamed for enough crashes.
void DropUnlikely(Suspects& suspects,
                  const Crashes& crashes,
                  const PartTraffic& traffic) {
  std::erase_if(suspects, [&](const auto& item) {
    return Judge(item.first, item.second, crashes, traffic).crashes <
           kCrashesToBlame;
  });
}

// Returns the suspect with the strongest evidence.
Suspects::const_iterator StrongestOf(const Suspects& suspects) {
  const auto rank = [](const Suspect& suspect) {
    return std::tuple(Summarize(suspect).crashes, suspect.crashes.size(),
                      -suspect.served_at.time_since_epoch().count(),
                      suspect.depth);
  };
  return std::max_element(suspects.begin(), suspects.end(),
                          [&](const auto& left, const auto& right) {
                            return rank(left.second) < rank(right.second);
                          });
}

}  // namespace

std::map<std::string, PoisonPart> FindPoisonParts(
    const std::vector<CrashEvidence>& evidence,
    const std::map<std::string, base::Instant>& served,
    const PartTraffic& traffic) {
  const Crashes crashes = CollectCrashes(evidence);
  Suspects suspects = CollectSuspects(evidence, crashes, served);
  std::map<std::string, PoisonPart> poison;
  for (DropUnlikely(suspects, crashes, traffic); !suspects.empty();
       DropUnlikely(suspects, crashes, traffic)) {
    const auto strongest = StrongestOf(suspects);
    poison[strongest->first] =
        Judge(strongest->first, strongest->second, crashes, traffic);
    const std::map<std::string, base::Instant> explained =
        strongest->second.crashes;
    for (auto& [name, suspect] : suspects) {
      std::erase_if(suspect.crashes, [&](const auto& crash) {
        return explained.contains(crash.first);
      });
    }
  }
  return poison;
}

}  // namespace carawayvalve::core
