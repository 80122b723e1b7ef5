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

// A small deployment of real processes on loopback: stand-ins of the platform's
// systems, agents and entry processes. The destructor kills all of them. When a
// test ends by an exception, as after a wait that timed out, their settings and
// logs are kept in the build folder and the folder's name is printed.
class Deployment {
 public:
  Deployment();
  ~Deployment();

  // Starts a stand-in of this kind. `name` identifies it in SetFault and Get.
  // A stand-in that is restarted keeps its port.
  void StartFake(const std::string& name,
                 const std::string& kind,
                 const std::vector<std::string>& options = {});
  // Sets a fault at a stand-in.
  void SetFault(const std::string& name, const nlohmann::json& fault) const;

  // Starts a TCP forwarder to `to` that can be cut or stalled through its
  // control port: `what` is "cut", "stall" or "stall_new".
  void StartForwarder(const std::string& name,
                      const std::string& to,
                      int control_port);
  static void ControlForwarder(int control_port,
                               const std::string& what,
                               bool on);

  // Starts an agent beside the backend server that the stand-in `backend`
  // plays, and adds it to the host list under `listed_address` if given (e.g.
  // that of a forwarder), otherwise under its own address.
  void StartAgent(const std::string& name,
                  const std::string& service,
                  const std::string& kind,
                  const std::string& backend,
                  const nlohmann::json& more_settings = {},
                  const std::string& listed_address = "");
  void StartEntry(const std::string& name,
                  const nlohmann::json& more_settings = {},
                  const std::string& data_centre = "dc-1");
  // Adds a host to the host list, or removes it.
  void PutHost(const nlohmann::json& host) const;
  void RemoveHost(const std::string& name) const;

  // Apply a declaration, grant and withdraw keys with the operators' command.
  void Apply(const nlohmann::json& declaration) const;
  std::string GrantKey(const std::string& account,
                       const std::string& label) const;
  void WithdrawKey(const std::string& label) const;

  // Waits until the entry process is ready and sees at least
  // `backend_servers` ready backend servers.
  void AwaitReady(const std::string& entry, size_t backend_servers) const;
  // Returns the state dump of an entry process or agent.
  nlohmann::json Dump(const std::string& name) const;

  // Sends an entry process a caller's request and waits for the answer.
  systems::HttpResponse Call(
      const std::string& entry,
      const std::string& method,
      const std::string& path,
      const std::string& key,
      const std::string& body = "",
      std::vector<systems::HttpHeader> headers = {}) const;
  // Fetches a page of a stand-in as JSON.
  nlohmann::json Get(const std::string& name, const std::string& path) const;

  Process& process(const std::string& name) {
    return *this->processes.at(name);
  }
  int port(const std::string& name) const { return this->ports.at(name); }
  // Sets a process's port before it starts.
  void SetPort(const std::string& name, int port) { this->ports[name] = port; }
  std::string address(const std::string& name) const;
  // Returns the logs of all processes so far, concatenated.
  std::string AllLogs() const;

 private:
  void Start(const std::string& name, const std::vector<std::string>& command);
  std::string WriteFile(const std::string& name, const std::string& text) const;
  void KeepFiles() const;

  std::string folder;
  std::map<std::string, std::unique_ptr<Process>> processes;
  std::map<std::string, int> ports;
};

// Returns a declaration with a model service `bench-models` (model bench-7b), a
// plain service `ticket-desk` on /tickets (keyed, POST never repeated) and
// /public (open, GET), and accounts `north` and `south`.
nlohmann::json SmallDeclaration();

// Starts the five stand-ins of the platform.
void StartPlatform(Deployment& deployment);

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PROCESSES_DEPLOYMENT_H_
