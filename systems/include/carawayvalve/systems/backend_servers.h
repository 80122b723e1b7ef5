#ifndef CARAWAYVALVE_SYSTEMS_BACKEND_SERVERS_H_
#define CARAWAYVALVE_SYSTEMS_BACKEND_SERVERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

enum class BackendServerState { kStarting, kRunning, kStopping };

// A backend server as the platform lists it.
struct BackendServer {
  base::BackendServerId name;
  base::ServiceId service;
  BackendServerState state = BackendServerState::kRunning;

  bool operator==(const BackendServer&) const = default;
};

enum class FleetOrderKind { kStart, kStop };

// An order to start or stop one backend server.
struct FleetOrder {
  FleetOrderKind kind = FleetOrderKind::kStart;
  base::ServiceId service;
  // Empty in an order to start a new server.
  base::BackendServerId name;
  // Orders with the same key take effect once.
  std::string idempotency_key;
  int64_t fencing_token = 0;

  bool operator==(const FleetOrder&) const = default;
};

// Adapter to the platform's backend server interface.
class BackendServers {
 public:
  // `address` is host and port.
  explicit BackendServers(std::string address);

  // Returns the servers of `data_centre`. Throws base::Error.
  std::vector<BackendServer> List(const base::DataCentreId& data_centre) const;

  // Sends `order` and returns the name of the started or stopped server. Throws
  // base::UnknownOutcomeError when no answer arrives within `timeout`.
  base::BackendServerId Send(const base::DataCentreId& data_centre,
                             const FleetOrder& order,
                             base::Milliseconds timeout) const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_BACKEND_SERVERS_H_
