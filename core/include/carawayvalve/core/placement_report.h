#ifndef CARAWAYVALVE_CORE_PLACEMENT_REPORT_H_
#define CARAWAYVALVE_CORE_PLACEMENT_REPORT_H_

#include <cstdint>
#include <optional>
#include <variant>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// Why a backend server isn't a candidate for a request.
enum class Exclusion {
  kLeaves,        // it takes no new requests
  kTried,         // an earlier attempt of the request was sent there
  kOtherVersion,  // another software version began the stream
  kAskedToWait,   // it asked for no requests for a while
  kRateLimit,     // this process has used its part of the rate limit
  kUnhealthy,     // it fails or is silent, and healthy ones can answer
  kReserved,      // it prefills short prompts only
};

// Returns a short text for operators.
const char* DescriptionOf(Exclusion exclusion);

// The terms of the estimated cost of a request at one candidate.
struct CostTerms {
  // Expected time until the first event or the answer.
  base::Duration expected{};
  // The part of it that goes by before the request is worked on.
  base::Duration work_ahead{};
  // Added for failures and for the distance to another data centre.
  base::Duration failure_and_distance{};
  // Added for a prefill away from the prompt's affinity engines, and for a copy
  // of its shared prefix.
  base::Duration affinity{};
  // The sum, by which candidates are compared.
  base::Duration cost{};
  // How many times longer than specified its answers take.
  double slowness = 1;
  int64_t missing_tokens = 0;
  int64_t requests_ahead = 0;
  int64_t tokens_ahead = 0;
  // The engine from which the shared prefix would be copied.
  std::optional<base::BackendServerId> copy_from;

  bool operator==(const CostTerms&) const = default;
};

// What one backend server means to the placement of a request.
struct CandidateReport {
  base::BackendServerId id;
  std::variant<CostTerms, Exclusion> outcome;

  bool operator==(const CandidateReport&) const = default;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_PLACEMENT_REPORT_H_
