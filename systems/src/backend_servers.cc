#include "carawayvalve/systems/backend_servers.h"

#include <utility>

#include "json_call.h"

namespace carawayvalve::systems {

using base::FieldReader;

namespace {

constexpr base::Milliseconds kListTimeout = base::Milliseconds(5000);

std::string DataCentrePath(const base::DataCentreId& data_centre) {
  return "/backend-servers/" + detail::EscapeSegment(data_centre.value);
}

BackendServer ReadBackendServer(FieldReader& fields) {
  constexpr BackendServerState kStates[] = {BackendServerState::kStarting,
                                            BackendServerState::kRunning,
                                            BackendServerState::kStopping};
  BackendServer server;
  server.name.value = fields.String("name");
  server.service.value = fields.String("service");
  server.state =
      kStates[fields.Choice("state", {"starting", "running", "stopping"})];
  return server;
}

nlohmann::json ToJson(const FleetOrder& order) {
  const bool is_start = order.kind == FleetOrderKind::kStart;
  return {{"order", is_start ? "start" : "stop"},
          {"service", order.service.value},
          {"name", order.name.value},
          {"idempotency_key", order.idempotency_key},
          {"fencing_token", order.fencing_token}};
}

}  // namespace

BackendServers::BackendServers(std::string address)
    : address(std::move(address)) {}

std::vector<BackendServer> BackendServers::List(
    const base::DataCentreId& data_centre) const {
  const detail::CallSite site{"list backend servers", this->address};
  const HttpRequest request = detail::MakeRequest(
      site, "GET", DataCentrePath(data_centre), kListTimeout);
  const nlohmann::json document =
      detail::ParseBody(site, detail::CallForOk(site, request));
  return ReadArray(site, document, "backend_servers", ReadBackendServer);
}

base::BackendServerId BackendServers::Send(
    const base::DataCentreId& data_centre,
    const FleetOrder& order,
    base::Milliseconds timeout) const {
  const detail::CallSite site{"order backend server", this->address};
  const HttpRequest request = detail::MakeJsonRequest(
      site, "POST", DataCentrePath(data_centre) + "/orders", ToJson(order),
      timeout);
  const nlohmann::json document =
      detail::ParseBody(site, detail::CallForOk(site, request));
  return ReadObject(site, document, [](FieldReader& fields) {
    return base::BackendServerId{fields.String("name")};
  });
}

}  // namespace carawayvalve::systems
