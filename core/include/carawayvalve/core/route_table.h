#ifndef CARAWAYVALVE_CORE_ROUTE_TABLE_H_
#define CARAWAYVALVE_CORE_ROUTE_TABLE_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::core {

struct RouteFound {
  config::Route route;

  bool operator==(const RouteFound&) const = default;
};

// No route matches, or backend servers may interpret the path differently.
struct NoSuchPath {
  std::string reason;

  bool operator==(const NoSuchPath&) const = default;
};

// A route matches the host and path but doesn't allow the method.
struct MethodNotAllowed {
  // Sorted, for the Allow header.
  std::vector<std::string> allowed;

  bool operator==(const MethodNotAllowed&) const = default;
};

using RouteResult = std::variant<RouteFound, NoSuchPath, MethodNotAllowed>;

// Finds the route of a request in one generation of the configuration. Among
// matching routes, an exact host name takes precedence over any host, then more
// path segments over fewer, then the earlier declaration. The method is checked
// last, so that a request never falls through to a wider route because of its
// method.
class RouteTable {
 public:
  explicit RouteTable(const config::Declaration& declaration);

  // `host` may contain a port, `path` a query. A path that backend servers may
  // interpret as another one (dot segments, empty segments, encoded slashes,
  // invalid encodings) matches nothing, since it could bypass the
  // key that its route requires.
  RouteResult Match(const std::string& host,
                    const std::string& path,
                    const std::string& method) const;

  // Returns the first declared service that serves the model.
  std::optional<config::Service> ServiceOfModel(
      const base::ModelId& model) const;

  std::optional<config::Service> FindService(
      const base::ServiceId& service) const;

 private:
  struct Entry {
    std::vector<std::string> segments;
    config::Route route;
  };

  // Sorted by descending number of segments.
  using Entries = std::vector<Entry>;

  std::optional<RouteResult> MatchHost(const std::string& host,
                                       const std::vector<std::string>& segments,
                                       const std::string& method) const;

  std::unordered_map<std::string, Entries> hosts;
  std::unordered_map<base::ServiceId, config::Service> services;
  std::unordered_map<base::ModelId, base::ServiceId> models;
};

// Returns whether a request with this method on this route may run more than
// once.
bool MayRepeat(const config::Route& route, const std::string& method);

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_ROUTE_TABLE_H_
