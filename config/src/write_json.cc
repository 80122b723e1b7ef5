#include "write_json.h"

#include <nlohmann/json.hpp>

#include "vocabulary.h"

namespace carawayvalve::config::detail {

using nlohmann::ordered_json;

namespace {

template <typename Item>
ordered_json ToJson(const std::vector<Item>& items) {
  ordered_json array = ordered_json::array();
  for (const Item& item : items) {
    array.push_back(detail::ToJson(item));
  }
  return array;
}

}  // namespace

ordered_json ToJson(const AccountRateLimit& limit) {
  const std::string& unit = RateUnitWords().at(static_cast<size_t>(limit.unit));
  ordered_json value = {
      {"unit", unit}, {"per_second", limit.per_second}, {"burst", limit.burst}};
  if (limit.unit == RateUnit::kTokens) {
    value["default_tokens"] = limit.default_tokens;
  }
  return value;
}

ordered_json ToJson(const ClientAccount& account) {
  ordered_json value = {
      {"name", account.name.value},
      {"weight", account.weight},
      {"max_requests_in_flight", account.max_requests_in_flight}};
  if (account.rate_limit.has_value()) {
    value["rate_limit"] = ToJson(*account.rate_limit);
  }
  return value;
}

ordered_json ToJson(const Service& service) {
  ordered_json models = ordered_json::array();
  for (const base::ModelId& model : service.models) {
    models.push_back(model.value);
  }
  const std::string& kind =
      ServiceKindWords().at(static_cast<size_t>(service.kind));
  return {{"name", service.name.value},
          {"kind", kind},
          {"models", models},
          {"target_first_answer_ms", service.target_first_answer_ms},
          {"min_backend_servers", service.min_backend_servers},
          {"max_backend_servers", service.max_backend_servers}};
}

ordered_json ToJson(const Route& route) {
  const std::string& repeat =
      RepeatWords().at(static_cast<size_t>(route.repeat));
  return {{"name", route.name.value},
          {"host", route.host},
          {"path_prefix", route.path_prefix},
          {"methods", route.methods},
          {"service", route.service.value},
          {"open", route.open},
          {"repeat", repeat},
          {"deadline_ms", route.deadline_ms}};
}

ordered_json ToJson(const EngineRule& rule) {
  return {{"service", rule.service.value},
          {"min_prefill_engines", rule.min_prefill_engines},
          {"min_decode_engines", rule.min_decode_engines},
          {"dwell_ms", rule.dwell_ms},
          {"change_roles", rule.change_roles}};
}

ordered_json ToJson(const Limits& limits) {
  return {{"max_body_bytes", limits.max_body_bytes},
          {"max_deadline_ms", limits.max_deadline_ms},
          {"max_queued_per_account", limits.max_queued_per_account},
          {"staleness_limit_ms", limits.staleness_limit_ms},
          {"balancer_delay_ms", limits.balancer_delay_ms},
          {"usage_window_ms", limits.usage_window_ms},
          {"usage_grace_ms", limits.usage_grace_ms}};
}

ordered_json ToJson(const Key& key) {
  return {{"sha256", key.sha256},
          {"client_account", key.client_account.value},
          {"label", key.label}};
}

ordered_json ToJson(const Declaration& declaration) {
  return {{"client_accounts", ToJson(declaration.client_accounts)},
          {"services", ToJson(declaration.services)},
          {"routes", ToJson(declaration.routes)},
          {"engine_rules", ToJson(declaration.engine_rules)},
          {"limits", ToJson(declaration.limits)}};
}

std::string Dump(const ordered_json& value, int indent) {
  return value.dump(indent, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace carawayvalve::config::detail
