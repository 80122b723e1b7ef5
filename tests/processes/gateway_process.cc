#include "gateway_process.h"

#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>

#include "../platform/desk.h"
#include "carawayvalve/base/address.h"
#include "carawayvalve/systems/http_client.h"

namespace carawayvalve::tests {

namespace {

using nlohmann::json;

constexpr int kOk = 200;

std::string Loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

GatewayPlatform::GatewayPlatform() : folder(MakeFolder()), store(this->loop) {
  this->settings = {{"host", "edge-0"},
                    {"data_centre", "a"},
                    {"listen", FreePorts()},
                    {"store", {{"address", this->store.address()}}},
                    {"memory_mb", 260},
                    {"duties",
                     {{"address", Loopback(FreePort())},
                      {"usage_window_s", 2},
                      {"lease_ms", 1500}}},
                    {"bounds", {{"stop_s", 8}}}};
  this->WriteSettings();
  this->store.Put("config", "main", DeskConfiguration());
  this->store.Put("servers", "i-1", DeskServer(Loopback(FreePort())));
  this->thread = std::thread([this] { this->loop.Run(); });
}

GatewayPlatform::~GatewayPlatform() {
  this->loop.Post([this] { this->loop.Stop(); });
  this->thread.join();
  std::filesystem::remove_all(this->folder);
}

std::unique_ptr<Process> GatewayPlatform::Start(const std::string& name) const {
  return std::make_unique<Process>(
      std::vector<std::string>{CARAWAYVALVE_ENTRY, "gateway",
                               "--settings=" + this->SettingsPath()},
      this->folder + "/" + name + ".log");
}

json GatewayPlatform::FreePorts() {
  return {{"callers", Loopback(FreePort())},
          {"readiness", Loopback(FreePort())},
          {"metrics", Loopback(FreePort())},
          {"peers", Loopback(FreePort())}};
}

std::unique_ptr<Process> GatewayPlatform::StartBeside(
    const std::string& host,
    const json& listen) const {
  json changed = this->settings;
  changed["host"] = host;
  changed["listen"] = listen;
  const std::string path = this->folder + "/" + host + ".json";
  std::ofstream(path) << changed.dump();
  return std::make_unique<Process>(
      std::vector<std::string>{CARAWAYVALVE_ENTRY, "gateway",
                               "--settings=" + path},
      this->folder + "/" + host + ".log");
}

void GatewayPlatform::WriteSettings() const {
  this->WriteSettingsText(this->settings.dump());
}

void GatewayPlatform::WriteSettingsText(const std::string& text) const {
  std::ofstream(this->SettingsPath()) << text;
}

void GatewayPlatform::ChangeStore(
    const std::function<void(Store& store)>& change) {
  std::promise<void> changed;
  this->loop.Post([&] {
    change(this->store);
    changed.set_value();
  });
  changed.get_future().wait();
}

bool GatewayPlatform::IsReady() const {
  return this->Get("readiness", "/api/ready") == kOk;
}

long GatewayPlatform::Get(const std::string& port,
                          const std::string& path) const {
  systems::HttpRequest request;
  request.method = "GET";
  request.url = "http://" +
                this->settings.at("listen").at(port).get<std::string>() + path;
  return systems::HttpCall("call gateway", request).status;
}

uint16_t GatewayPlatform::Port(const std::string& name) const {
  return base::ParseAddress(
             this->settings.at("listen").at(name).get<std::string>())
      .port;
}

std::vector<json> LogLines(const std::string& output,
                           const std::string& event) {
  std::vector<json> lines;
  std::istringstream text(output);
  for (std::string line; std::getline(text, line);) {
    const json read = json::parse(line, nullptr, false);
    if (read.is_object() && read.value("event", "") == event) {
      lines.push_back(read);
    }
  }
  return lines;
}

}  // namespace carawayvalve::tests
