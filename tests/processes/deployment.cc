#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <system_error>

#include "carawayvalve/base/error.h"

namespace carawayvalve::tests {

namespace {

using nlohmann::json;

constexpr char kStoreName[] = "object-api";
constexpr char kHostListName[] = "host-list";

std::string Loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

systems::HttpResponse CallFake(const std::string& method,
                               const std::string& address,
                               const std::string& path,
                               const std::string& body = "") {
  systems::HttpRequest request;
  request.method = method;
  request.url = "http://" + address + path;
  request.body = body;
  return systems::HttpCall("call stand-in", request);
}

}  // namespace

Deployment::Deployment() : folder(MakeFolder()) {}

Deployment::~Deployment() {
  this->processes.clear();
  if (std::uncaught_exceptions() > 0) {
    this->KeepFiles();
  }
  std::filesystem::remove_all(this->folder);
}

void Deployment::KeepFiles() const {
  const std::filesystem::path kept =
      std::filesystem::path(CARAWAYVALVE_KEPT_LOGS) /
      std::filesystem::path(this->folder).filename();
  std::error_code error;
  std::filesystem::create_directories(kept.parent_path(), error);
  std::filesystem::copy(this->folder, kept,
                        std::filesystem::copy_options::recursive, error);
  std::cerr << (error ? "Can't keep the logs in " : "The logs are kept in ")
            << kept.string() << "\n";
}

void Deployment::Start(const std::string& name,
                       const std::vector<std::string>& command) {
  this->processes.erase(name);
  this->processes[name] =
      std::make_unique<Process>(command, this->folder + "/" + name + ".log");
}

std::string Deployment::WriteFile(const std::string& name,
                                  const std::string& text) const {
  std::string path = this->folder + "/" + name;
  std::ofstream(path) << text;
  return path;
}

void Deployment::StartFake(const std::string& name,
                           const std::string& kind,
                           const std::vector<std::string>& options) {
  // A restarted stand-in keeps its port.
  if (!this->ports.contains(name)) {
    this->ports[name] = FreePort();
  }
  std::vector<std::string> command = {
      CARAWAYVALVE_FAKES, kind, "--port=" + std::to_string(this->port(name))};
  command.insert(command.end(), options.begin(), options.end());
  this->Start(name, command);
  Await(name + " to listen", [&] {
    return this->process(name).Output().find("ready") != std::string::npos;
  });
}

void Deployment::SetFault(const std::string& name, const json& fault) const {
  CallFake("POST", this->address(name), "/fault", fault.dump());
}

void Deployment::StartForwarder(const std::string& name,
                                const std::string& to,
                                int control_port) {
  this->StartFake(
      name, "forwarder",
      {"--to=" + to, "--control-port=" + std::to_string(control_port)});
}

void Deployment::ControlForwarder(int control_port,
                                  const std::string& what,
                                  bool on) {
  CallFake("POST", Loopback(control_port), "/" + what,
           json({{what, on}}).dump());
}

void Deployment::StartAgent(const std::string& name,
                            const std::string& service,
                            const std::string& kind,
                            const std::string& backend,
                            const json& more_settings,
                            const std::string& listed_address) {
  if (!this->ports.contains(name)) {
    this->ports[name] = FreePort();
    this->ports[name + "-operator"] = FreePort();
  }
  json settings = {{"host", name},
                   {"data_centre", "dc-1"},
                   {"backend_server", name},
                   {"service", service},
                   {"backend_kind", kind},
                   {"backend_address", this->address(backend)},
                   {"peer_address", this->address(name)},
                   {"operator_address", this->address(name + "-operator")},
                   {"object_api_address", this->address(kStoreName)},
                   {"load_interval_ms", 50}};
  if (more_settings.is_object()) {
    settings.update(more_settings);
  }
  const std::string path = this->WriteFile(name + ".json", settings.dump());
  this->Start(name, {CARAWAYVALVE_AGENT, "--settings=" + path});
  this->PutHost({{"name", name},
                 {"role", "backend"},
                 {"data_centre", settings["data_centre"]},
                 {"region", "region-1"},
                 {"service", service},
                 {"state", "live"},
                 {"address", listed_address.empty() ? this->address(name)
                                                    : listed_address}});
}

void Deployment::StartEntry(const std::string& name,
                            const json& more_settings,
                            const std::string& data_centre) {
  for (const char* suffix : {"", "-operator", "-peer"}) {
    if (!this->ports.contains(name + suffix)) {
      this->ports[name + suffix] = FreePort();
    }
  }
  json settings = {
      {"host", name},
      {"data_centre", data_centre},
      {"region", "region-1"},
      {"callers_address", this->address(name)},
      {"operator_address", this->address(name + "-operator")},
      {"peer_address", this->address(name + "-peer")},
      {"object_api_address", this->address(kStoreName)},
      {"host_list_address", this->address(kHostListName)},
      {"backend_servers_address", this->address("backend-servers")},
      {"usage_address", this->address("usage")},
      {"weight_store_address", this->address("weights")}};
  if (more_settings.is_object()) {
    settings.update(more_settings);
  }
  const std::string path = this->WriteFile(name + ".json", settings.dump());
  this->Start(name, {CARAWAYVALVE_ENTRY, "serve", "--settings=" + path});
  this->PutHost({{"name", name},
                 {"role", "entry"},
                 {"data_centre", data_centre},
                 {"region", "region-1"},
                 {"service", ""},
                 {"state", "live"},
                 {"address", this->address(name + "-peer")}});
}

void Deployment::PutHost(const json& host) const {
  CallFake("PUT", this->address(kHostListName),
           "/hosts/" + host["name"].get<std::string>(), host.dump());
}

void Deployment::RemoveHost(const std::string& name) const {
  CallFake("DELETE", this->address(kHostListName), "/hosts/" + name);
}

void Deployment::Apply(const json& declaration) const {
  const std::string path =
      this->WriteFile("declaration.json", declaration.dump());
  RunCommand({CARAWAYVALVE_ENTRY, "apply", path,
              "--store=" + this->address(kStoreName)});
}

std::string Deployment::GrantKey(const std::string& account,
                                 const std::string& label) const {
  const std::string output =
      RunCommand({CARAWAYVALVE_ENTRY, "key", "grant", account,
                  "--label=" + label, "--store=" + this->address(kStoreName)});
  const size_t at = output.find("cvk_");
  const size_t end = output.find_first_of(" \"\n", at);
  return output.substr(at, end - at);
}

void Deployment::WithdrawKey(const std::string& label) const {
  RunCommand({CARAWAYVALVE_ENTRY, "key", "withdraw", "--label=" + label,
              "--store=" + this->address(kStoreName)});
}

void Deployment::AwaitReady(const std::string& entry,
                            size_t backend_servers) const {
  Await(entry + " to be ready", [&] {
    const json dump = this->Dump(entry);
    size_t ready = 0;
    for (const json& server : dump["backend_servers"]) {
      ready += server.value("ready", false) ? 1 : 0;
    }
    return dump["ready"].get<bool>() && ready >= backend_servers;
  });
}

json Deployment::Dump(const std::string& name) const {
  return json::parse(
      CallFake("GET", this->address(name + "-operator"), "/dump").body);
}

systems::HttpResponse Deployment::Call(
    const std::string& entry,
    const std::string& method,
    const std::string& path,
    const std::string& key,
    const std::string& body,
    std::vector<systems::HttpHeader> headers) const {
  systems::HttpRequest request;
  request.method = method;
  request.url = "http://" + this->address(entry) + path;
  request.headers = std::move(headers);
  if (!key.empty()) {
    request.headers.emplace_back("Authorization", "Bearer " + key);
  }
  request.body = body;
  request.timeout = base::Milliseconds(60000);
  return systems::HttpCall("call entry process", request);
}

json Deployment::Get(const std::string& name, const std::string& path) const {
  return json::parse(CallFake("GET", this->address(name), path).body);
}

std::string Deployment::address(const std::string& name) const {
  return Loopback(this->port(name));
}

std::string Deployment::AllLogs() const {
  std::string logs;
  for (const auto& [name, process] : this->processes) {
    logs += process->Output();
  }
  return logs;
}

json SmallDeclaration() {
  return json::parse(R"({
    "client_accounts": [{"name": "north"}, {"name": "south", "weight": 4}],
    "services": [
      {"name": "bench-models", "kind": "model", "models": ["bench-7b"],
       "min_backend_servers": 1, "max_backend_servers": 8},
      {"name": "ticket-desk", "kind": "plain",
       "min_backend_servers": 1, "max_backend_servers": 8}
    ],
    "routes": [
      {"name": "desk", "path_prefix": "/tickets", "service": "ticket-desk"},
      {"name": "desk-public", "path_prefix": "/public", "methods": ["GET"],
       "service": "ticket-desk", "open": true}
    ],
    "limits": {"balancer_delay_ms": 0}
  })");
}

void StartPlatform(Deployment& deployment) {
  for (const char* kind :
       {"object-api", "host-list", "backend-servers", "usage", "weights"}) {
    deployment.StartFake(kind, kind);
  }
}

}  // namespace carawayvalve::tests
