#ifndef CARAWAYVALVE_GATEWAY_SRC_CRASH_STATE_FORMAT_H_
#define CARAWAYVALVE_GATEWAY_SRC_CRASH_STATE_FORMAT_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "carawayvalve/core/poison_request_tracker.h"

namespace carawayvalve::gateway {

// What is known of crashes, and the true time since 1970 at which it was.
struct WrittenCrashState {
  base::Duration written{};
  core::CrashState state;

  bool operator==(const WrittenCrashState&) const = default;
};

// Returns the state as the value of an object of the store. Leaves out what
// would read as another text.
nlohmann::json PrintCrashState(const WrittenCrashState& written);
// Returns nothing if the value isn't a state, or one of an unknown format.
std::optional<WrittenCrashState> ParseCrashState(const nlohmann::json& value);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_CRASH_STATE_FORMAT_H_
