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

// Takes the orders to an engine and keeps a list of them. Thread-safe.
class EngineOrders {
 public:
  EngineOrders(EngineModel& model,
               base::Milliseconds change_time,
               bool checks_fencing,
               std::stop_token stop);

  // Answers POST /orders after the change.
  Reply Execute(const nlohmann::json& order);
  // Answers GET /orders.
  Reply List() const;

 private:
  // Returns the order's place in the list, or -1 when its token is old.
  int64_t Begin(const nlohmann::json& order);
  void End(size_t index);
  // Whether the order leaves the engine other than it is.
  bool ChangesAnything(const nlohmann::json& order) const;
  int64_t Elapsed() const;

  EngineModel& model;
  const base::Milliseconds change_time;
  const bool checks_fencing;
  const std::stop_token stop;
  const base::Instant start = base::Now();
  mutable std::mutex mutex;
  std::vector<nlohmann::json> orders;
  // Versions by model, of the orders that were carried out.
  std::map<std::string, std::string> versions;
  int64_t highest_token = 0;
  int64_t in_progress = 0;
  int64_t conflicts = 0;
  int64_t refused = 0;
};

}  // namespace carawayvalve::fakes

#endif  // CARAWAYVALVE_TESTS_FAKES_ENGINE_ORDERS_H_
