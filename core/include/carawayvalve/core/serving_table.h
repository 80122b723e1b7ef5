#ifndef CARAWAYVALVE_CORE_SERVING_TABLE_H_
#define CARAWAYVALVE_CORE_SERVING_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carawayvalve/config/serving.h"

namespace carawayvalve::core {

// Looks up routes, keys and services in one version of the serving plan.
// Returned references and pointers are valid for the lifetime of the table.
class ServingTable {
 public:
  explicit ServingTable(const config::ServingPlan& plan);
  ServingTable(const ServingTable&) = delete;
  ServingTable& operator=(const ServingTable&) = delete;

  // Returns the route of the host whose path prefix is the longest match for
  // the target, or null if there is none. `host` may contain a port, `target` a
  // query.
  const config::ServingRoute* FindRoute(const std::string& host,
                                        std::string_view target) const;
  // Returns the account that owns the key, or null if there is none.
  const config::ServingAccount* FindAccount(const std::string& key) const;
  const config::ServingService* FindService(
      const base::ServiceId& service) const;

  int64_t version() const { return this->plan.version; }
  const config::ServingPlan& serving_plan() const { return this->plan; }

 private:
  config::ServingPlan plan;
  // Routes by host, the longest path prefix first.
  std::unordered_map<std::string, std::vector<const config::ServingRoute*>>
      routes;
  std::unordered_map<std::string, const config::ServingAccount*> keys;
  std::unordered_map<base::ServiceId, const config::ServingService*> services;
};

// Returns the service for a request of the route, distributed by the weights of
// its shares. The same request id always gets the same service.
const base::ServiceId& ChooseService(const config::ServingRoute& route,
                                     const std::string& request_id);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SERVING_TABLE_H_
