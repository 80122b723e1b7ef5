#include "state_dump.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/core/duty.h"

namespace carawayvalve::entry {

namespace {

using nlohmann::json;

json DumpRoutes(const ActiveConfiguration* active) {
  json list = json::array();
  if (active == nullptr) {
    return list;
  }
  for (const config::Route& route : active->configuration->declaration.routes) {
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

int64_t GenerationOf(const ActiveConfiguration* active) {
  return active == nullptr ? 0 : active->configuration->generation;
}

// Shows whether a peer has the current generation. Operators check this after
// they withdraw a key.
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

json DumpStatus(const OperatorPageSources& sources) {
  const int64_t generation = GenerationOf(sources.admitter.Active().get());
  return {{"host", sources.settings.host.value},
          {"data_centre", sources.settings.data_centre.value},
          {"boot", sources.boot.value},
          {"ready", ReasonNotReady(sources).empty()},
          {"leaving", sources.leaving.load()},
          {"configuration_generation", generation},
          {"configuration_source", sources.feed.source().value},
          {"freshness", FreshnessName(sources.feed.Freshness())},
          {"duties_held", sources.duties_held()},
          {"requests_in_flight", sources.dispatcher.in_flight()},
          {"peers", DumpConfirmations(sources.peers, generation)},
          {"peers_not_followed", sources.peers.UnfollowedHostCount()}};
}

// Returns null unless this process holds the usage duty: only its holder knows
// the progress of the usage windows.
json DumpUsage(const OperatorPageSources& sources) {
  const std::string duty =
      core::DutyName(core::UsageDuty{sources.settings.region});
  const std::vector<std::string> held = sources.duties_held();
  const std::optional<core::UsageProgress> progress = sources.usage_progress();
  if (!progress || std::find(held.begin(), held.end(), duty) == held.end()) {
    return nullptr;
  }
  return {{"open", progress->open},
          {"sealed", progress->sealed},
          {"reported", progress->reported},
          {"pending", progress->pending},
          {"refused_reports", progress->refused_reports}};
}

json DumpState(const OperatorPageSources& sources) {
  const auto active = sources.admitter.Active();
  json state = DumpStatus(sources);
  state["routes"] = DumpRoutes(active.get());
  state["backend_servers"] = DumpBackendServers(sources.dispatcher);
  state["peers"] = DumpPeers(sources.peers, GenerationOf(active.get()));
  state["attempts"] = DumpAttempts(sources.dispatcher);
  state["usage"] = DumpUsage(sources);
  return state;
}

systems::OperatorAnswer Json(const json& value) {
  return {200, "application/json", base::PrintJson(value, 2) + "\n"};
}

systems::OperatorAnswer Ready(const OperatorPageSources& sources) {
  const std::string reason = ReasonNotReady(sources);
  if (reason.empty()) {
    return {200, "text/plain", "ready\n"};
  }
  return {503, "text/plain", reason + "\n"};
}

systems::OperatorAnswer Metrics(const OperatorPageSources& sources) {
  const auto active = sources.admitter.Active();
  int64_t ready = 0;
  for (const BackendSnapshot& row : sources.dispatcher.fleet().Snapshots()) {
    ready += row.status && row.status->ready ? 1 : 0;
  }
  sources.metrics.SetGauges(
      static_cast<int64_t>(sources.dispatcher.in_flight()),
      GenerationOf(active.get()), ready);
  return {200, "text/plain; version=0.0.4", sources.metrics.Print()};
}

}  // namespace

std::string ReasonNotReady(const OperatorPageSources& sources) {
  if (sources.leaving) {
    return "the process is leaving";
  }
  if (sources.admitter.Active() == nullptr) {
    return "no configuration has been read yet";
  }
  if (!sources.feed.IsStartedUp()) {
    return "neither the store nor most peers have answered yet";
  }
  if (sources.feed.Freshness() == core::FreshnessState::kCutOff) {
    return "neither the store nor most peers are heard";
  }
  return "";
}

std::map<std::string, systems::OperatorServer::Handler> OperatorPages(
    const OperatorPageSources& sources) {
  return {{"/healthz",
           [] {
             return systems::OperatorAnswer{200, "text/plain", "ok\n"};
           }},
          {"/readyz", [sources] { return Ready(sources); }},
          {"/status", [sources] { return Json(DumpStatus(sources)); }},
          {"/dump", [sources] { return Json(DumpState(sources)); }},
          {"/metrics", [sources] { return Metrics(sources); }}};
}

}  // namespace carawayvalve::entry
