#ifndef CARAWAYVALVE_CONFIG_TESTS_GENERATORS_H_
#define CARAWAYVALVE_CONFIG_TESTS_GENERATORS_H_

#include <rapidcheck.h>

#include <string>
#include <vector>

#include "carawayvalve/config/configuration.h"

// Generate values that pass every check, with their items in arbitrary order.
namespace carawayvalve::config {

inline int64_t Draw(int64_t min_value, int64_t max_value) {
  return *rc::gen::inRange<int64_t>(min_value, max_value + 1);
}

inline int32_t DrawInt(int32_t min_value, int32_t max_value) {
  return static_cast<int32_t>(Draw(min_value, max_value));
}

template <typename Item>
std::vector<Item> Shuffle(std::vector<Item> items) {
  for (size_t i = items.size(); i > 1; --i) {
    std::swap(items[i - 1], items[static_cast<size_t>(Draw(0, i - 1))]);
  }
  return items;
}

inline std::string Numbered(const std::string& stem, int64_t number) {
  return stem + std::to_string(number);
}

inline AccountRateLimit DrawRateLimit() {
  AccountRateLimit limit;
  limit.unit = Draw(0, 1) == 0 ? RateUnit::kRequests : RateUnit::kTokens;
  limit.per_second = static_cast<double>(Draw(1, 1 << 20)) / 4;
  limit.burst = Draw(1, 1 << 20);
  if (limit.unit == RateUnit::kTokens) {
    limit.default_tokens = Draw(1, limit.burst);
  }
  return limit;
}

inline ClientAccount DrawAccount(int64_t number) {
  return {.name = {Numbered("account-", number)},
          .weight = DrawInt(1, 1000),
          .max_requests_in_flight = DrawInt(1, 1000),
          .rate_limit =
              Draw(0, 1) == 0 ? std::nullopt : std::optional(DrawRateLimit())};
}

inline Service DrawService(int64_t number) {
  Service service;
  service.name = {Numbered("service-", number)};
  service.kind = Draw(0, 1) == 0 ? ServiceKind::kModel : ServiceKind::kPlain;
  if (service.kind == ServiceKind::kModel) {
    const int64_t models = Draw(1, 3);
    for (int64_t i = 0; i < models; ++i) {
      service.models.push_back({Numbered(Numbered("model-", number) + ".", i)});
    }
    service.models = Shuffle(service.models);
  }
  service.target_first_answer_ms = Draw(1, 5000);
  service.min_backend_servers = DrawInt(0, 20);
  service.max_backend_servers =
      DrawInt(std::max(1, service.min_backend_servers), 40);
  return service;
}

inline Route DrawRoute(int64_t number, const std::vector<Service>& services) {
  Route route;
  route.name = {Numbered("route-", number)};
  route.host = Draw(0, 1) == 0 ? "" : "desk.example";
  route.path_prefix = Numbered("/path/", number);
  if (Draw(0, 1) == 0) {
    route.methods = Shuffle(std::vector<std::string>{"GET", "POST", "PUT"});
  }
  route.service = services[Draw(0, services.size() - 1)].name;
  route.open = Draw(0, 1) == 0;
  route.repeat = static_cast<Repeat>(Draw(0, 2));
  route.deadline_ms = Draw(1, 60000);
  return route;
}

inline EngineRule DrawEngineRule(const Service& service) {
  EngineRule rule;
  rule.service = service.name;
  rule.min_prefill_engines = DrawInt(0, service.max_backend_servers);
  rule.min_decode_engines =
      DrawInt(0, service.max_backend_servers - rule.min_prefill_engines);
  rule.dwell_ms = Draw(0, 60000);
  rule.change_roles = Draw(0, 1) == 0;
  return rule;
}

inline Limits DrawLimits() {
  return {.max_body_bytes = Draw(1, 1 << 20),
          .max_deadline_ms = Draw(60000, 600000),
          .max_queued_per_account = DrawInt(1, 1000),
          .staleness_limit_ms = Draw(100, 60000),
          .balancer_delay_ms = Draw(0, 5000),
          .usage_window_ms = Draw(1000, 60000),
          .usage_grace_ms = Draw(0, 60000)};
}

inline Declaration DrawDeclaration() {
  Declaration declaration;
  for (int64_t i = Draw(0, 4); i > 0; --i) {
    declaration.client_accounts.push_back(DrawAccount(i));
  }
  for (int64_t i = Draw(1, 4); i > 0; --i) {
    declaration.services.push_back(DrawService(i));
  }
  for (int64_t i = Draw(0, 4); i > 0; --i) {
    declaration.routes.push_back(DrawRoute(i, declaration.services));
  }
  for (const Service& service : declaration.services) {
    if (service.kind == ServiceKind::kModel && Draw(0, 1) == 0) {
      declaration.engine_rules.push_back(DrawEngineRule(service));
    }
  }
  declaration.limits = DrawLimits();
  return declaration;
}

inline Declaration Shuffle(const Declaration& declaration) {
  Declaration shuffled = declaration;
  shuffled.client_accounts = Shuffle(declaration.client_accounts);
  shuffled.services = Shuffle(declaration.services);
  shuffled.routes = Shuffle(declaration.routes);
  shuffled.engine_rules = Shuffle(declaration.engine_rules);
  return shuffled;
}

inline Configuration DrawConfiguration() {
  Configuration configuration;
  configuration.generation = Draw(0, 1 << 30);
  configuration.declaration = DrawDeclaration();
  for (const ClientAccount& account :
       configuration.declaration.client_accounts) {
    for (int64_t i = Draw(0, 3); i > 0; --i) {
      const std::string label = Numbered("key \"ü\" ", i);
      configuration.keys.push_back(
          {base::Sha256(account.name.value + label), account.name, label});
    }
  }
  configuration.keys = Shuffle(configuration.keys);
  return configuration;
}

}  // namespace carawayvalve::config

#endif  // CARAWAYVALVE_CONFIG_TESTS_GENERATORS_H_
