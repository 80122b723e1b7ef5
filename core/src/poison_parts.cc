#include "carawayvalve/core/poison_parts.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace carawayvalve::core {

namespace {

// Crashes within this time of each other may have one cause outside the
// requests, such as the loss of a rack.
constexpr base::Milliseconds kSameCauseTime(100);

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

// Returns when each crash was first noticed.
std::map<std::string, base::Instant> CrashTimes(
    const std::vector<CrashEvidence>& evidence) {
  std::map<std::string, base::Instant> times;
  for (const CrashEvidence& request : evidence) {
    const auto [place, added] =
        times.emplace(request.crash_id, request.crashed_at);
    place->second = std::min(place->second, request.crashed_at);
  }
  return times;
}

Suspects CollectSuspects(const std::vector<CrashEvidence>& evidence,
                         const std::map<std::string, base::Instant>& served) {
  const auto times = CrashTimes(evidence);
  Suspects suspects;
  for (const CrashEvidence& request : evidence) {
    const base::Instant crashed_at = times.at(request.crash_id);
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

// Removes the suspects that can't be blamed for enough crashes.
void DropUnlikely(Suspects& suspects) {
  std::erase_if(suspects, [](const auto& item) {
    return item.second.crashes.size() < kCrashesToBlame ||
           Summarize(item.second).crashes < kCrashesToBlame;
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
    const std::map<std::string, base::Instant>& served) {
  Suspects suspects = CollectSuspects(evidence, served);
  std::map<std::string, PoisonPart> poison;
  for (DropUnlikely(suspects); !suspects.empty(); DropUnlikely(suspects)) {
    const auto strongest = StrongestOf(suspects);
    poison[strongest->first] = Summarize(strongest->second);
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
