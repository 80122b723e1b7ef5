#ifndef CARAWAYVALVE_GATEWAY_SRC_RECENT_STATE_FORMAT_H_
#define CARAWAYVALVE_GATEWAY_SRC_RECENT_STATE_FORMAT_H_

#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "carawayvalve/core/recent_state_schedule.h"

namespace carawayvalve::gateway {

// Returns the state as the value of an object of the store.
nlohmann::json PrintRecentState(const core::RecentState& state);
// Returns nothing if the value isn't a state, or one of an unknown format.
std::optional<core::RecentState> ParseRecentState(const nlohmann::json& value);

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_SRC_RECENT_STATE_FORMAT_H_
