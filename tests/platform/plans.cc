#include "plans.h"

#include <string>

namespace carawayvalve::tests {

nlohmann::json PlanWithRoutes(int64_t version, int routes) {
  nlohmann::json plan = {
      {"version", version},
      {"routes", nlohmann::json::array()},
      {"services", {{{"name", "desk"}}}},
  };
  for (int i = 0; i < routes; ++i) {
    plan["routes"].push_back({{"name", "route-" + std::to_string(i)},
                              {"host", "desk.example"},
                              {"prefix", "/p" + std::to_string(i) + "/"},
                              {"kind", "idempotent"},
                              {"service", "desk"},
                              {"maxAttempts", 2},
                              {"timeoutMs", 5000},
                              {"sloMs", 600},
                              {"priority", 1}});
  }
  return plan;
}

}  // namespace carawayvalve::tests
