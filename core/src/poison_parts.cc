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
// ran if that is at most this probable by chance, if at least this many answers
// to it are missing since, and if both taken together are at most so probable.
constexpr double kMaxCoincidence = 0.2;
constexpr double kMinUnanswered = 3;
constexpr double kMaxChance = 0.01;
// Evidence of other processes, and answers, arrive within this time.
constexpr base::Milliseconds kMinUnansweredTime(700);

// A part that may have caused crashes.
struct Suspect {
  // When each of its crashes happened, by crash.
  std::map<std::string, base::Instant> crashes;
  // The furthest position in a prompt.
  size_t depth = 0;
  // The first part of a request with it.
  std::string first;
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
      suspect.first = request.parts.front();
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

// Crashes at the moments at which all backend servers that crashed ran a part.
struct Coincidence {
  size_t crashes = 0;
  // How probable it is, at most, that they ran the part by chance.
  double probability = 1;
  base::Instant last;
};

// Returns what is known of moments that have passed for long enough.
Coincidence FindCoincidence(const Suspect& suspect,
                            const Crashes& crashes,
                            double share,
                            base::Instant now) {
  std::map<base::Instant, Coincidence> moments;
  std::set<base::Instant> without_part;
  for (const auto& [id, crash] : crashes) {
    if (!suspect.crashes.contains(id)) {
      without_part.insert(crash.moment);
      continue;
    }
    Coincidence& moment = moments[crash.moment];
    ++moment.crashes;
    moment.probability *=
        1 - std::pow(1 - share, static_cast<double>(crash.requests));
    moment.last = std::max(moment.last, crash.at);
  }
  Coincidence all;
  for (const auto& [at, moment] : moments) {
    if (!without_part.contains(at) && moment.last + kMinUnansweredTime <= now) {
      all.crashes += moment.crashes;
      all.probability *= moment.probability;
      all.last = std::max(all.last, moment.last);
    }
  }
  return all;
}

// Counts crashes at the same moment one by one if they aren't chance.
PoisonPart Judge(const std::string& part,
                 const Suspect& suspect,
                 const Crashes& crashes,
                 const PartTraffic& traffic,
                 base::Instant now) {
  PoisonPart judged = Summarize(suspect);
  if (judged.crashes >= kCrashesToBlame ||
      suspect.crashes.size() < kCrashesToBlame) {
    return judged;
  }
  const Coincidence coincidence =
      FindCoincidence(suspect, crashes, traffic.MaxShareOf(part), now);
  const double unanswered =
      traffic.ExpectedAnswers(part, suspect.first, coincidence.last) *
      traffic.process_count();
  const bool missed =
      coincidence.probability <= kMaxCoincidence &&
      unanswered >= kMinUnanswered &&
      coincidence.probability * std::exp(-unanswered) <= kMaxChance;
  // In steady traffic, parts that several backend servers run at once have been
  // answered before, unless none can be.
  const bool is_new =
      suspect.served_at == base::Instant() && traffic.IsSteady();
  if (coincidence.crashes >= kCrashesToBlame && (missed || is_new)) {
    judged.crashes = std::max(judged.crashes, coincidence.crashes);
  }
  return judged;
}

// Removes the suspects that can't be blamed for enough crashes.
void DropUnlikely(Suspects& suspects,
                  const Crashes& crashes,
                  const PartTraffic& traffic,
                  base::Instant now) {
  std::erase_if(suspects, [&](const auto& item) {
    return Judge(item.first, item.second, crashes, traffic, now).crashes <
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
    const PartTraffic& traffic,
    base::Instant now) {
  const Crashes crashes = CollectCrashes(evidence);
  Suspects suspects = CollectSuspects(evidence, crashes, served);
  std::map<std::string, PoisonPart> poison;
  for (DropUnlikely(suspects, crashes, traffic, now); !suspects.empty();
       DropUnlikely(suspects, crashes, traffic, now)) {
    const auto strongest = StrongestOf(suspects);
    poison[strongest->first] =
        Judge(strongest->first, strongest->second, crashes, traffic, now);
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
