#ifndef CARAWAYVALVE_TESTS_PROCESSES_GATEWAY_PROCESS_H_
#define CARAWAYVALVE_TESTS_PROCESSES_GATEWAY_PROCESS_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "../platform/store.h"
#include "process.h"

namespace carawayvalve::tests {

// A stand-in of the platform's store with a configuration and a backend server,
// and the settings of a gateway that uses it. The destructor stops the store
// and removes the files.
class GatewayPlatform {
 public:
  GatewayPlatform();
  ~GatewayPlatform();

  GatewayPlatform(const GatewayPlatform&) = delete;
  GatewayPlatform& operator=(const GatewayPlatform&) = delete;

  // Starts a gateway with these settings; `name` identifies its log.
  std::unique_ptr<Process> Start(const std::string& name) const;
  // Starts a gateway beside that of Start, with `listen`, from FreePorts, as
  // its addresses. `host` names it and its log.
  std::unique_ptr<Process> StartBeside(const std::string& host,
                                       const nlohmann::json& listen) const;
  static nlohmann::json FreePorts();
  // Replaces the settings, which Start uses.
  void WriteSettings() const;
  void WriteSettingsText(const std::string& text) const;
  // Changes the store in its own thread and waits until that is done.
  void ChangeStore(const std::function<void(Store& store)>& change);

  // Returns whether the readiness port answers that the gateway is ready.
  bool IsReady() const;
  // Returns the status of a GET from one of the ports: "callers", "readiness",
  // "metrics" or "peers". Throws base::Error without an answer.
  long Get(const std::string& port, const std::string& path) const;
  uint16_t Port(const std::string& name) const;

  // What WriteSettings writes.
  nlohmann::json settings;

 private:
  std::string SettingsPath() const { return this->folder + "/gateway.json"; }

  std::string folder;
  net::EventLoop loop;
  Store store;
  std::thread thread;
};

// Returns the lines of a gateway's log about this event, by `output`.
std::vector<nlohmann::json> LogLines(const std::string& output,
                                     const std::string& event);

}  // namespace carawayvalve::tests

#endif  // CARAWAYVALVE_TESTS_PROCESSES_GATEWAY_PROCESS_H_
