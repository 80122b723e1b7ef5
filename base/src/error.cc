#include "carawayvalve/base/error.h"

namespace carawayvalve::base {

Error::Error(const std::string& step,
             const std::string& peer,
             const std::string& reason)
    : std::runtime_error(step + " at " + peer + ": " + reason),
      step_name(step),
      peer_name(peer),
      reason_text(reason) {}

}  // namespace carawayvalve::base
