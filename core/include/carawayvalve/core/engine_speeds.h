#ifndef CARAWAYVALVE_CORE_ENGINE_SPEEDS_H_
#define CARAWAYVALVE_CORE_ENGINE_SPEEDS_H_

#include "carawayvalve/base/time.h"

namespace carawayvalve::core {

// How fast the backend servers of one service are without other load. The
// defaults are those of the engines' first data sheet; they hold until enough
// requests have shown other ones.
struct EngineSpeeds {
  // Prompt tokens per millisecond that a prefill engine prefills. A decode
  // engine prefills half as many between its decoding steps.
  double prefill_tokens_per_ms = 48.2;
  // Time of a prefill beside that of its tokens.
  base::Duration prefill_base = base::Milliseconds(14);
  // Time from the KV cache to the first event at a decode engine.
  base::Duration first_event = base::Milliseconds(14);
  // Time by which each running request lengthens a step of its engine.
  base::Duration step_per_request = base::Milliseconds(1);
  // Mean duration of a request of a plain service.
  base::Duration plain_request = base::Milliseconds(40);
  // Mean time for which a request holds its slot at a decode engine.
  base::Duration slot_time = base::Milliseconds(100);

  bool operator==(const EngineSpeeds&) const = default;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ENGINE_SPEEDS_H_
