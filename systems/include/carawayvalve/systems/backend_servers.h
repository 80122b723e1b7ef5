#ifndef CARAWAYVALVE_SYSTEMS_BACKEND_SERVERS_H_
#define CARAWAYVALVE_SYSTEMS_BACKEND_SERVERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/base/time.h"

namespace carawayvalve::systems {

enum class BackendServerState { kStarting, kRunning, kStopping };

struct BackendServer {
  base::BackendServerId name;
  base::ServiceId service;
  BackendServerState state = BackendServerState::kRunning;

  bool operator==(const BackendServer&) const = default;
};

enum class FleetOrderKind { kStart, kStop };

struct FleetOrder {
  FleetOrderKind kind = FleetOrderKind::kStart;
  base::ServiceId service;
  // Empty when a new one is started.
  base::BackendServerId name;
  // The same order sent twice has one effect.
  std::string idempotency_key;
  int64_t fencing_token = 0;

  bool operator==(const FleetOrder&) const = default;
};

// Adapter to the platform's backend server interface.
class BackendServers {
 public:
  explicit BackendServers(std::string address);

  std::vector<BackendServer> List(const base::DataCentreId& data_centre) const;

  // Returns the name of the server started or stopped. Throws
  // base::UnknownOutcomeError when the answer stayed away for `timeout`.
  base::BackendServerId Send(const base::DataCentreId& data_centre,
                             const FleetOrder& order,
                             base::Milliseconds timeout) const;

 private:
  std::string address;
};

}  // namespace carawayvalve::systems

#endif  // CARAWAYVALVE_SYSTEMS_BACKEND_SERVERS_H_
