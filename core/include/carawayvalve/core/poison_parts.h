#ifndef CARAWAYVALVE_CORE_POISON_PARTS_H_
#define CARAWAYVALVE_CORE_POISON_PARTS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "carawayvalve/base/time.h"
#include "carawayvalve/core/part_traffic.h"

namespace carawayvalve::core {

// A part that explains fewer crashes isn't blamed.
inline constexpr size_t kCrashesToBlame = 3;

// A request that may have crashed a backend server.
struct CrashEvidence {
  // Identifies the crash.
  std::string crash_id;
  base::Instant crashed_at;
  // The parts of the request that others may share, in order.
  std::vector<std::string> parts;

  bool operator==(const CrashEvidence&) const = default;
};

// A part of a request's content that crashes backend servers, whatever else the
// request holds.
struct PoisonPart {
  // Number of crashes that it explains, those at about the same time counted
  // once if they may be chance.
  size_t crashes = 0;
  base::Instant last_crash;

  bool operator==(const PoisonPart&) const = default;
};

// Returns the parts that crash backend servers, by the requests that were about
// to be answered when backend servers crashed. `served` tells when a request
// with the part was last answered completely: crashes before that don't count.
//
// Crashes at about the same time may have one cause outside the requests, such
// as the loss of a rack, and then count once. But such a cause hits backend
// servers whatever they run: crashes count one by one if all backend servers
// that crashed at a time ran the part, and this is improbable by its share of
// the traffic. Requests with a popular part gather at few backend servers, so
// that it also must have gone without an answer while others were answered, or
// have never been answered in steady traffic. Evidence of other processes is
// awaited before.
//
// The part with the most crashes explains all crashes that it occurs in, so
// that the parts that accompany it aren't blamed. Among parts with equal
// evidence that is one that was never served, then one further back in the
// prompt, which fewer requests share.
std::map<std::string, PoisonPart> FindPoisonParts(
    const std::vector<CrashEvidence>& evidence,
    const std::map<std::string, base::Instant>& served,
    const PartTraffic& traffic = {},
    base::Instant now = {});

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_POISON_PARTS_H_
