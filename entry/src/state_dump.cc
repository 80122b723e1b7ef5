#include "state_dump.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "carawayvalve/core/duty.h"

namespace carawayvalve::entry {

namespace {

using nlohmann::json;

json DumpRoutes(const InForce* in_force) {
  json list = json::array();
  if (in_force == nullptr) {
    return list;
  }
  for (const config::Route& route :
       in_force->configuration->declaration.routes) {
    list.push_back({{"name", route.name.value},
                    {"host", route.host},
                    {"path_prefix", route.path_prefix},
                    {"service", route.service.value},
                    {"open", route.open}});
  }
  return list;
}

json DumpBackendServers(Dispatcher& dispatcher) {
  json list = json::array();
  for (const BackendSnapshot& row : dispatcher.fleet().Snapshots()) {
    json entry = {{"backend_server", row.backend_server.value},
                  {"agent_address", row.address},
                  {"host_leaving", row.host_leaving},
                  {"heard", row.status.has_value()}};
    if (row.status) {
      entry["service"] = row.status->service_name;
      entry["ready"] = row.status->ready;
      entry["leaving"] = row.status->leaving;
      entry["role"] = row.status->load.role;
      entry["queued"] = row.status->queued;
      entry["running"] = row.status->running;
      entry["configuration_generation"] = row.status->generation;
    }
    list.push_back(entry);
  }
  return list;
}

json DumpAttempts(const Dispatcher& dispatcher) {
  json list = json::array();
  for (const DispatchRow& row : dispatcher.Rows()) {
    list.push_back({{"request", row.request.value},
                    {"attempt", row.attempt.value},
                    {"backend_server", row.backend_server.value},
                    {"client_account", row.client_account.value},
                    {"phase", row.phase}});
  }
  return list;
}

int64_t GenerationOf(const InForce* in_force) {
  return in_force == nullptr ? 0 : in_force->configuration->generation;
}

// Whether a peer has the present generation, as an operator needs it who has
// withdrawn a key.
json DumpConfirmation(const PeerSnapshot& peer, int64_t generation) {
  return {{"host", peer.host.value},
          {"heard", peer.reachable},
          {"configuration_generation", peer.status.generation},
          {"confirmed", ConfirmsGeneration(peer, generation)}};
}

json DumpConfirmations(const PeerPoller& peers, int64_t generation) {
  json list = json::array();
  for (const PeerSnapshot& row : peers.Snapshots()) {
    list.push_back(DumpConfirmation(row, generation));
  }
  return list;
}

json DumpPeers(const PeerPoller& peers, int64_t generation) {
  json list = json::array();
  for (const PeerSnapshot& row : peers.Snapshots()) {
    json entry = DumpConfirmation(row, generation);
    entry["address"] = row.address;
    entry["store_age_ms"] = row.status.store_age_ms;
    entry["duties_held"] = row.status.duties_held;
    list.push_back(entry);
  }
  return list;
}

const char* FreshnessName(core::FreshnessState freshness) {
  switch (freshness) {
    case core::FreshnessState::kFresh:
      return "fresh";
    case core::FreshnessState::kPlatformOutage:
      return "platform_outage";
    case core::FreshnessState::kCutOff:
      return "cut_off";
  }
  return "cut_off";
}

json DumpStatus(const EntryParts& parts) {
  const int64_t generation = GenerationOf(parts.gatekeeper.Present().get());
  return {{"host", parts.settings.host.value},
          {"data_centre", parts.settings.data_centre.value},
          {"boot", parts.boot.value},
          {"ready", ReasonNotReady(parts).empty()},
          {"leaving", parts.leaving.load()},
          {"configuration_generation", generation},
          {"configuration_source", parts.feed.source().value},
          {"freshness", FreshnessName(parts.feed.Freshness())},
          {"duties_held", parts.duties_held()},
          {"requests_in_flight", parts.dispatcher.in_flight()},
          {"peers", DumpConfirmations(parts.peers, generation)},
          {"peers_not_followed", parts.peers.UnfollowedHostCount()}};
}

// Only the holder of the duty knows how far the windows are.
json DumpUsage(const EntryParts& parts) {
  const std::string duty =
      core::DutyName(core::UsageDuty{parts.settings.region});
  const std::vector<std::string> held = parts.duties_held();
  const std::optional<core::UsageProgress> progress = parts.usage_progress();
  if (!progress || std::find(held.begin(), held.end(), duty) == held.end()) {
    return nullptr;
  }
  return {{"open", progress->open},
          {"sealed", progress->sealed},
          {"reported", progress->reported},
          {"pending", progress->pending},
          {"refused_reports", progress->refused_reports}};
}

json DumpState(const EntryParts& parts) {
  const auto in_force = parts.gatekeeper.Present();
  json state = DumpStatus(parts);
  state["routes"] = DumpRoutes(in_force.get());
  state["backend_servers"] = DumpBackendServers(parts.dispatcher);
  state["peers"] = DumpPeers(parts.peers, GenerationOf(in_force.get()));
  state["attempts"] = DumpAttempts(parts.dispatcher);
  state["usage"] = DumpUsage(parts);
  return state;
}

systems::OperatorAnswer Json(const json& value) {
  return {200, "application/json", value.dump(2) + "\n"};
}

systems::OperatorAnswer Ready(const EntryParts& parts) {
  const std::string reason = ReasonNotReady(parts);
  if (reason.empty()) {
    return {200, "text/plain", "ready\n"};
  }
  return {503, "text/plain", reason + "\n"};
}

systems::OperatorAnswer Metrics(const EntryParts& parts) {
  const auto in_force = parts.gatekeeper.Present();
  int64_t ready = 0;
  for (const BackendSnapshot& row : parts.dispatcher.fleet().Snapshots()) {
    ready += row.status && row.status->ready ? 1 : 0;
  }
  parts.metrics.SetGauges(static_cast<int64_t>(parts.dispatcher.in_flight()),
                          GenerationOf(in_force.get()), ready);
  return {200, "text/plain; version=0.0.4", parts.metrics.Print()};
}

}  // namespace

std::string ReasonNotReady(const EntryParts& parts) {
  if (parts.leaving) {
    return "the process is leaving";
  }
  if (parts.gatekeeper.Present() == nullptr) {
    return "no configuration has been read yet";
  }
  if (!parts.feed.IsStartedUp()) {
    return "neither the store nor most peers have answered yet";
  }
  if (parts.feed.Freshness() == core::FreshnessState::kCutOff) {
    return "neither the store nor most peers are heard";
  }
  return "";
}

std::map<std::string, systems::OperatorServer::Handler> OperatorPages(
    const EntryParts& parts) {
  return {{"/healthz",
           [] {
             return systems::OperatorAnswer{200, "text/plain", "ok\n"};
           }},
          {"/readyz", [parts] { return Ready(parts); }},
          {"/status", [parts] { return Json(DumpStatus(parts)); }},
          {"/dump", [parts] { return Json(DumpState(parts)); }},
          {"/metrics", [parts] { return Metrics(parts); }}};
}

}  // namespace carawayvalve::entry
