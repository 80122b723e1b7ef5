#include <memory>
#include <mutex>

#include "carawayvalve/base/time.h"
#include "stand_ins.h"

namespace carawayvalve::fakes {

namespace {

using nlohmann::json;

struct Server {
  std::string service;
  std::string state;
  // When "starting" or "stopping" changes to the next state.
  base::Instant state_until = base::Instant::max();
};

class BackendServers {
 public:
  explicit BackendServers(base::Milliseconds change_time)
      : change_time(change_time) {}

  Reply Handle(const Request& request) {
    const std::lock_guard lock(this->mutex);
    if (request.Is("GET", "orders", 1)) {
      return JsonReply(200, {{"orders", this->orders}});
    }
    if (request.Is("GET", "backend-servers", 2)) {
      return this->List(request.path[1]);
    }
    if (request.Is("POST", "backend-servers", 3) &&
        request.path[2] == "orders") {
      return this->TakeOrder(request.path[1], request.Json());
    }
    if (request.Is("PUT", "backend-servers", 3)) {
      return this->Set(request.path[1], request.path[2], request.Json());
    }
    return NotFound();
  }

 private:
  using Servers = std::map<std::string, Server>;

  Reply List(const std::string& data_centre) {
    Servers& servers = this->data_centres[data_centre];
    json list = json::array();
    for (auto& [name, server] : servers) {
      Advance(server);
      if (server.state == "stopped") {
        continue;
      }
      list.push_back({{"name", name},
                      {"service", server.service},
                      {"state", server.state}});
    }
    return JsonReply(200, {{"backend_servers", list}});
  }

  static bool IsStopping(const Server& server) {
    return server.state == "stopping" || server.state == "stopped";
  }

  static void Advance(Server& server) {
    if (base::Now() < server.state_until) {
      return;
    }
    server.state = server.state == "stopping" ? "stopped" : "running";
    server.state_until = base::Instant::max();
  }

  Reply TakeOrder(const std::string& data_centre, const json& order) {
    const auto key = order.at("idempotency_key").get<std::string>();
    const auto known = this->answers.find(key);
    if (known != this->answers.end()) {
      return JsonReply(200, {{"name", known->second}});
    }
    const std::string name = this->Execute(data_centre, order);
    json taken = order;
    taken["data_centre"] = data_centre;
    taken["name"] = name;
    this->orders.push_back(std::move(taken));
    this->answers[key] = name;
    return JsonReply(200, {{"name", name}});
  }

  // Returns the name of the server started or stopped.
  std::string Execute(const std::string& data_centre, const json& order) {
    Servers& servers = this->data_centres[data_centre];
    const base::Instant until = base::Now() + this->change_time;
    std::string name = order.value("name", "");
    if (order.at("order") == "start") {
      const auto service = order.at("service").get<std::string>();
      if (name.empty()) {
        this->started += 1;
        name =
            service + "-" + data_centre + "-" + std::to_string(this->started);
      }
      servers[name] = {service, "starting", until};
      return name;
    }
    const auto found = servers.find(name);
    if (found != servers.end() && !IsStopping(found->second)) {
      found->second = {found->second.service, "stopping", until};
    }
    return name;
  }

  // Sets a server without an order, for tests.
  Reply Set(const std::string& data_centre,
            const std::string& name,
            const json& server) {
    this->data_centres[data_centre][name] = {.service = server.at("service"),
                                             .state = server.at("state")};
    return JsonReply(200, json::object());
  }

  const base::Milliseconds change_time;
  std::mutex mutex;
  std::map<std::string, Servers> data_centres;
  json orders = json::array();
  // Server names returned, by idempotency key.
  std::map<std::string, std::string> answers;
  int64_t started = 0;
};

}  // namespace

Handler MakeBackendServers(const Options& options, const std::stop_token&) {
  const base::Milliseconds change_time(options.Number("--change-ms"));
  const auto servers = std::make_shared<BackendServers>(change_time);
  return [servers](const Request& request) { return servers->Handle(request); };
}

}  // namespace carawayvalve::fakes
