#include "carawayvalve/declare/declare.h"

#include <iostream>
#include <utility>

#include "carawayvalve/config/json.h"

namespace carawayvalve::declare {

ClientAccount Account(const std::string& name, int32_t weight) {
  ClientAccount account;
  account.name = {name};
  account.weight = weight;
  return account;
}

ClientAccount WithRequestLimit(ClientAccount account,
                               double per_second,
                               int64_t burst) {
  account.rate_limit = {.unit = config::RateUnit::kRequests,
                        .per_second = per_second,
                        .burst = burst};
  return account;
}

ClientAccount WithTokenLimit(ClientAccount account,
                             double per_second,
                             int64_t burst,
                             int64_t default_tokens) {
  account.rate_limit = {.unit = config::RateUnit::kTokens,
                        .per_second = per_second,
                        .burst = burst,
                        .default_tokens = default_tokens};
  return account;
}

Service ModelService(const std::string& name,
                     const std::vector<std::string>& models) {
  Service service;
  service.name = {name};
  service.kind = config::ServiceKind::kModel;
  for (const std::string& model : models) {
    service.models.push_back({model});
  }
  return service;
}

Service PlainService(const std::string& name) {
  Service service;
  service.name = {name};
  return service;
}

Service WithBackendServers(Service service,
                           int32_t min_count,
                           int32_t max_count) {
  service.min_backend_servers = min_count;
  service.max_backend_servers = max_count;
  return service;
}

Service WithTargetFirstAnswer(Service service, int64_t target_ms) {
  service.target_first_answer_ms = target_ms;
  return service;
}

Route KeyedRoute(const std::string& name,
                 const std::string& path_prefix,
                 const std::string& service) {
  Route route;
  route.name = {name};
  route.path_prefix = path_prefix;
  route.service = {service};
  return route;
}

Route OpenRoute(const std::string& name,
                const std::string& path_prefix,
                const std::string& service) {
  Route route = KeyedRoute(name, path_prefix, service);
  route.open = true;
  return route;
}

Route WithMethods(Route route, const std::vector<std::string>& methods) {
  route.methods = methods;
  return route;
}

Route WithRepeat(Route route, config::Repeat repeat) {
  route.repeat = repeat;
  return route;
}

Route WithHost(Route route, const std::string& host) {
  route.host = host;
  return route;
}

Route WithDeadline(Route route, int64_t deadline_ms) {
  route.deadline_ms = deadline_ms;
  return route;
}

EngineRule EnginesOf(const std::string& service) {
  EngineRule rule;
  rule.service = {service};
  return rule;
}

EngineRule KeepEngines(EngineRule rule, int32_t prefill, int32_t decode) {
  rule.min_prefill_engines = prefill;
  rule.min_decode_engines = decode;
  return rule;
}

int Print(const Declaration& declaration) {
  return Print(declaration, std::cout, std::cerr);
}

int Print(const Declaration& declaration,
          std::ostream& out,
          std::ostream& err) {
  const std::string text = config::PrintDeclaration(declaration);
  Declaration ignored;
  const std::vector<base::Fault> faults =
      config::CheckDeclaration(text, "declaration", ignored);
  for (const base::Fault& fault : faults) {
    err << fault.path << ' ' << fault.reason << "; allowed: " << fault.allowed
        << '\n';
  }
  if (!faults.empty()) {
    return kExitFaults;
  }
  out << text;
  return 0;
}

}  // namespace carawayvalve::declare
