#ifndef CARAWAYVALVE_TESTS_FAKES_ENGINE_ORDERS_H_
#define CARAWAYVALVE_TESTS_FAKES_ENGINE_ORDERS_H_

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <stop_token>
#include <string>
#include <vector>

#include "carawayvalve/base/time.h"
#include "engine_model.h"
#include "http_server.h"

namespace carawayvalve::fakes {

// Executes orders to an engine and records them. Thread-safe.
class EngineOrders {
 public:
  EngineOrders(EngineModel& model,
               base::Milliseconds change_time,
               bool checks_fencing,
               std::stop_token stop);

  // Answers POST /orders once the change is complete.
  Reply Execute(const nlohmann::json& order);
  // Answers GET /orders.
  Reply List() const;

 private:
  // Returns the order's index in the list, or -1 when its fencing token is
  // stale.
  int64_t Begin(const nlohmann::json& order);
  void End(size_t index);
  // Returns whether the order changes the role, a model or a version.
  bool ChangesAnything(const nlohmann::json& order) const;
  int64_t Elapsed() const;

  EngineModel& model;
  const base::Milliseconds change_time;
  const bool checks_fencing;
  const std::stop_token stop;
  const base::Instant start = base::Now();
  mutable std::mutex mutex;
  std::vector<nlohmann::json> orders;
  // The version of each model that executed orders have set.
  std::map<std::string, std::string> versions;
  int64_t highest_token = 0;
  int64_t in_progress = 0;
  int64_t conflicts = 0;
  int64_t refused = 0;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_ENGINE_ORDERS_H_
