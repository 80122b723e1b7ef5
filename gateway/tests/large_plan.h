#ifndef CARAWAYVALVE_GATEWAY_TESTS_LARGE_PLAN_H_
#define CARAWAYVALVE_GATEWAY_TESTS_LARGE_PLAN_H_

#include <cstdint>
#include <nlohmann/json.hpp>

#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/base/time.h"
#include "gateway_state.h"
#include "platform/plans.h"

namespace carawayvalve::gateway {

// As many as the largest configurations of the users' deployments.
inline constexpr int kManyRoutes = 2850;
// An eighth of a link of 10 Mbit/s; callers' requests take the rest.
inline constexpr int64_t kLeftOfLink = 156250;

// Returns the value that a reader of its text gets, which distinguishes kinds
// of numbers.
inline nlohmann::json AsRead(const nlohmann::json& value) {
  return base::ParseForeignJson(base::PrintJson(value)).value;
}

// Returns a configuration in the store's form, as it is read.
inline nlohmann::json LargePlan(int64_t version, int routes = kManyRoutes) {
  return AsRead(tests::PlanWithRoutes(version, routes));
}

// Returns how long a link that is mostly taken needs for the value.
inline base::Duration TransferTime(const nlohmann::json& value) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(
          static_cast<double>(base::PrintJson(value).size()) /
          static_cast<double>(kLeftOfLink)));
}

// Returns the version of the configuration in force, 0 if there is none.
inline int64_t VersionOf(const GatewayState& state) {
  return state.table == nullptr ? 0 : state.table->version();
}

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_TESTS_LARGE_PLAN_H_
