#ifndef CARAWAYVALVE_TESTS_PROCESSES_DEPLOYMENT_H_
#define CARAWAYVALVE_TESTS_PROCESSES_DEPLOYMENT_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "carawayvalve/systems/http_client.h"
#include "process.h"

namespace carawayvalve::tests {

// A small deployment of real processes on loopback: stand-ins of the outside
// systems, agents and entry processes. Everything ends with this object.
class Deployment {
 public:
  Deployment();
  ~Deployment();

  // Stand-ins. The name is also what Fault and Get take.
  void StartFake(const std::string& name,
                 const std::string& kind,
                 const std::vector<std::string>& options = {});
  void Fault(const std::string& name, const nlohmann::json& fault) const;

  // A TCP forwarder to `to` that can be cut or stalled through its control
  // port: `what` is "cut", "stall" or "stall_new".
  void StartForwarder(const std::string& name,
                      const std::string& to,
                      int control_port);
  static void ControlForwarder(int control_port,
                               const std::string& what,
                               bool on);

  // An agent beside the backend server that the fake `backend` stands for.
  // `listed_address` goes into the host list instead of the agent's own, so
  // that a forwarder can stand between.
  void StartAgent(const std::string& name,
                  const std::string& service,
                  const std::string& kind,
                  const std::string& backend,
                  const nlohmann::json& more_settings = {},
                  const std::string& listed_address = "");
  void StartEntry(const std::string& name,
                  const nlohmann::json& more_settings = {},
                  const std::string& data_centre = "dc-1");
  // Puts a host into the host list, or takes it out.
  void PutHost(const nlohmann::json& host) const;
  void RemoveHost(const std::string& name) const;

  // Applies a declaration, grants and withdraws keys with the operator's
  // command.
  void Apply(const nlohmann::json& declaration) const;
  std::string GrantKey(const std::string& account,
                       const std::string& label) const;
  void WithdrawKey(const std::string& label) const;

  // Waits until the entry process is ready and hears `backend_servers` ready
  // ones.
  void AwaitReady(const std::string& entry, size_t backend_servers) const;
  // The state dump of an entry process or agent.
  nlohmann::json Dump(const std::string& name) const;

  // Calls an entry process as a caller does.
  systems::HttpResponse Call(
      const std::string& entry,
      const std::string& method,
      const std::string& path,
      const std::string& key,
      const std::string& body = "",
      std::vector<systems::HttpHeader> headers = {}) const;
  // Fetches a page of a fake as JSON.
  nlohmann::json Get(const std::string& name, const std::string& path) const;

  Process& process(const std::string& name) {
    return *this->processes.at(name);
  }
  int port(const std::string& name) const { return this->ports.at(name); }
  // Chooses a process's port before it starts.
  void SetPort(const std::string& name, int port) { this->ports[name] = port; }
  std::string address(const std::string& name) const;
  // The log of every process so far, to be searched.
  std::string AllLogs() const;

 private:
  void Start(const std::string& name, const std::vector<std::string>& command);
  std::string WriteFile(const std::string& name, const std::string& text) const;

  std::string folder;
  std::map<std::string, std::unique_ptr<Process>> processes;
  std::map<std::string, int> ports;
};

// A declaration with a model service `bench-models` (model bench-7b), a plain
// service `ticket-desk` on /tickets (keyed, POST never repeated) and /public
// (open, GET), and accounts `north` and `south`.
nlohmann::json SmallDeclaration();

// The five stand-ins of the platform.
void StartPlatform(Deployment& deployment);

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PROCESSES_DEPLOYMENT_H_
