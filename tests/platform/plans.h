#ifndef CARAWAYVALVE_TESTS_PLATFORM_PLANS_H_
#define CARAWAYVALVE_TESTS_PLATFORM_PLANS_H_

#include <cstdint>
#include <nlohmann/json.hpp>

namespace carawayvalve::tests {

// Returns a configuration as the operator writes it, of one service, "desk",
// and that many routes to it, "route-0" and so on.
nlohmann::json PlanWithRoutes(int64_t version, int routes);

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PLATFORM_PLANS_H_
