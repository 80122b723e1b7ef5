#include "desk.h"

#include <nlohmann/json.hpp>

namespace carawayvalve::tests {

nlohmann::json DeskConfiguration() {
  return {{"version", 1},
          {"routes",
           {{{"name", "look"},
             {"host", "gateway.example"},
             {"prefix", "/look/"},
             {"kind", "idempotent"},
             {"timeoutMs", 3000},
             {"sloMs", 500},
             {"service", "desk"},
             {"maxAttempts", 2},
             {"resumable", false}}}},
          {"services",
           {{{"name", "desk"}, {"healthPath", "/health"}, {"maxConns", 100}}}},
          {"tenants", {{{"name", "guild"}, {"apiKeys", {"key-guild"}}}}}};
}

nlohmann::json PaymentConfiguration() {
  nlohmann::json configuration = DeskConfiguration();
  nlohmann::json& route = configuration["routes"][0];
  route["name"] = "pay";
  route["prefix"] = "/pay/";
  route["kind"] = "mutating";
  route["maxAttempts"] = 3;
  return configuration;
}

nlohmann::json WithStreams(nlohmann::json configuration,
                           base::Milliseconds timeout) {
  nlohmann::json& routes = configuration["routes"];
  routes[0]["timeoutMs"] = timeout.count();
  nlohmann::json stream = routes[0];
  stream["name"] = "tell";
  stream["prefix"] = "/tell/";
  stream["kind"] = "stream";
  routes.push_back(stream);
  return configuration;
}

nlohmann::json DeskServer(const std::string& address) {
  return {{"service", "desk"}, {"addr", address}, {"zone", "a"},
          {"version", "v1"},   {"slots", 4},      {"state", "up"},
          {"born", 1}};
}

}  // namespace carawayvalve::tests
