#ifndef CARAWAYVALVE_CORE_SERVING_TABLE_H_
#define CARAWAYVALVE_CORE_SERVING_TABLE_H_

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "carawayvalve/config/serving.h"

namespace carawayvalve::core {

// Looks up routes, keys and services of one version of the plan. References
// that it returns live as long as the table.
class ServingTable {
 public:
  explicit ServingTable(const config::ServingPlan& plan);
  ServingTable(const ServingTable&) = delete;
  ServingTable& operator=(const ServingTable&) = delete;

  // Returns the route of the host with the longest prefix of the target, null
  // when there is none. `host` may carry a port, `target` a query.
  const config::ServingRoute* FindRoute(const std::string& host,
                                        std::string_view target) const;
  // Returns the account that holds a key, null when none does.
  const config::ServingAccount* FindAccount(const std::string& key) const;
  const config::ServingService* FindService(
      const base::ServiceId& service) const;

  int64_t version() const { return this->plan.version; }
  const config::ServingPlan& serving_plan() const { return this->plan; }

 private:
  config::ServingPlan plan;
  // By host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const config::ServingRoute*>>
      routes;
  std::unordered_map<std::string, const config::ServingAccount*> keys;
  std::unordered_map<base::ServiceId, const config::ServingService*> services;
};

// Returns the service of one request of a route, by the weights of its shares.
// The same request always gets the same one.
const base::ServiceId& ChooseService(const config::ServingRoute& route,
                                     const std::string& request_id);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_SERVING_TABLE_H_
