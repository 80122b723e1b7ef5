#include "read_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "quote.h"
#include "vocabulary.h"

namespace carawayvalve::config::detail {

using base::Fault;
using base::FieldReader;
using nlohmann::json;

namespace {

// Reports whether faults were recorded since its construction.
class FaultCheckpoint {
 public:
  explicit FaultCheckpoint(const std::vector<Fault>& faults)
      : faults(faults), count(faults.size()) {}

  bool clean() const { return this->faults.size() == this->count; }

 private:
  const std::vector<Fault>& faults;
  size_t count;
};

void CheckText(FieldReader& reader,
               const std::string& member,
               const std::string& text,
               const TextRule& rule) {
  if (!rule.holds(text)) {
    reader.AddFault(member, "can't be " + Quote(text), rule.allowed);
  }
}

// Reads a string member that must satisfy `rule`; it is required if there is no
// default. Returns "" after a fault; later checks skip empty strings.
std::string ReadText(FieldReader& reader,
                     std::vector<Fault>& faults,
                     const std::string& member,
                     const TextRule& rule,
                     const std::optional<std::string>& default_value = {}) {
  const FaultCheckpoint checkpoint(faults);
  const std::string text = reader.String(member, default_value);
  if (checkpoint.clean()) {
    CheckText(reader, member, text, rule);
  }
  return checkpoint.clean() ? text : "";
}

// Records a fault for each duplicate element of a list.
void CheckDistinct(FieldReader& reader,
                   const std::string& member,
                   const std::vector<std::string>& list) {
  std::set<std::string> seen;
  for (const std::string& element : list) {
    if (!seen.insert(element).second) {
      reader.AddFault(member, "holds " + Quote(element) + " twice",
                      "each element once");
    }
  }
}

std::string Join(const std::vector<std::string>& words) {
  std::string list;
  for (const std::string& word : words) {
    list += (list.empty() ? "" : ", ") + word;
  }
  return list;
}

AccountRateLimit ReadRateLimit(const json& item,
                               const std::string& path,
                               std::vector<Fault>& faults) {
  const AccountRateLimit defaults;
  const FaultCheckpoint checkpoint(faults);
  FieldReader reader(item, path, faults);
  AccountRateLimit limit;
  limit.unit = static_cast<RateUnit>(reader.Choice("unit", RateUnitWords()));
  limit.per_second = reader.Number("per_second", kMinPerSecond,
                                   static_cast<double>(kMaxPerSecond));
  limit.burst = reader.Integer("burst", 1, kMaxPerSecond);
  const bool counts_tokens = limit.unit == RateUnit::kTokens;
  limit.default_tokens =
      reader.Integer("default_tokens", 1, kMaxPerSecond,
                     counts_tokens ? std::optional<int64_t>()
                                   : std::optional(defaults.default_tokens));
  reader.Finish();
  if (checkpoint.clean() && counts_tokens &&
      limit.default_tokens > limit.burst) {
    reader.AddFault("default_tokens",
                    "is above burst, so that no such request would ever run",
                    "1 to " + std::to_string(limit.burst));
  }
  return limit;
}

ClientAccount ReadClientAccount(const json& item,
                                const std::string& path,
                                std::vector<Fault>& faults) {
  const ClientAccount defaults;
  FieldReader reader(item, path, faults);
  ClientAccount account;
  account.name = {ReadText(reader, faults, "name", kNameRule)};
  account.weight = static_cast<int32_t>(
      reader.Integer("weight", 1, kMaxWeight, defaults.weight));
  account.max_requests_in_flight = static_cast<int32_t>(
      reader.Integer("max_requests_in_flight", 1, kMaxRequestsInFlight,
                     defaults.max_requests_in_flight));
  const json& rate_limit = reader.Object("rate_limit");
  if (item.is_object() && item.contains("rate_limit")) {
    account.rate_limit =
        ReadRateLimit(rate_limit, reader.PathOf("rate_limit"), faults);
  }
  reader.Finish();
  return account;
}

std::vector<base::ModelId> ReadModels(FieldReader& reader) {
  const std::vector<std::string> names = reader.Strings("models");
  CheckDistinct(reader, "models", names);
  std::vector<base::ModelId> models;
  for (const std::string& name : names) {
    CheckText(reader, "models", name, kNameRule);
    models.push_back({name});
  }
  return models;
}

void CheckKind(FieldReader& reader, const Service& service) {
  if (service.kind == ServiceKind::kModel && service.models.empty()) {
    reader.AddFault("models", "is empty in a model service",
                    "at least one model name");
  }
  if (service.kind == ServiceKind::kPlain && !service.models.empty()) {
    reader.AddFault("models", "isn't empty in a plain service",
                    "an empty array, or the kind \"model\"");
  }
}

Service ReadService(const json& item,
                    const std::string& path,
                    std::vector<Fault>& faults) {
  const Service defaults;
  const FaultCheckpoint checkpoint(faults);
  FieldReader reader(item, path, faults);
  Service service;
  service.name = {ReadText(reader, faults, "name", kNameRule)};
  service.kind =
      static_cast<ServiceKind>(reader.Choice("kind", ServiceKindWords()));
  service.models = ReadModels(reader);
  service.target_first_answer_ms =
      reader.Integer("target_first_answer_ms", 1, kMaxDeadlineMs,
                     defaults.target_first_answer_ms);
  service.min_backend_servers = static_cast<int32_t>(
      reader.Integer("min_backend_servers", 0, kMaxBackendServers,
                     defaults.min_backend_servers));
  service.max_backend_servers = static_cast<int32_t>(reader.Integer(
      "max_backend_servers", 1, kMaxBackendServers,
      std::max(service.min_backend_servers, defaults.max_backend_servers)));
  reader.Finish();
  if (checkpoint.clean()) {
    CheckKind(reader, service);
    if (service.min_backend_servers > service.max_backend_servers) {
      reader.AddFault("min_backend_servers", "is above max_backend_servers",
                      "0 to " + std::to_string(service.max_backend_servers));
    }
  }
  return service;
}

std::vector<std::string> ReadMethods(FieldReader& reader) {
  std::vector<std::string> methods = reader.Strings("methods");
  CheckDistinct(reader, "methods", methods);
  const std::vector<std::string>& known = MethodWords();
  for (const std::string& method : methods) {
    if (std::find(known.begin(), known.end(), method) == known.end()) {
      reader.AddFault("methods", "holds the unknown method " + Quote(method),
                      Join(known));
    }
  }
  return methods;
}

Route ReadRoute(const json& item,
                const std::string& path,
                int64_t max_deadline_ms,
                std::vector<Fault>& faults) {
  const Route defaults;
  FieldReader reader(item, path, faults);
  Route route;
  route.name = {ReadText(reader, faults, "name", kNameRule)};
  route.host = ReadText(reader, faults, "host", kHostRule, defaults.host);
  route.path_prefix = ReadText(reader, faults, "path_prefix", kPathRule);
  route.methods = ReadMethods(reader);
  route.service = {ReadText(reader, faults, "service", kNameRule)};
  route.open = reader.Boolean("open", defaults.open);
  route.repeat = static_cast<Repeat>(reader.Choice(
      "repeat", RepeatWords(), static_cast<size_t>(defaults.repeat)));
  route.deadline_ms =
      reader.Integer("deadline_ms", 1, max_deadline_ms,
                     std::min(defaults.deadline_ms, max_deadline_ms));
  reader.Finish();
  return route;
}

EngineRule ReadEngineRule(const json& item,
                          const std::string& path,
                          std::vector<Fault>& faults) {
  const EngineRule defaults;
  FieldReader reader(item, path, faults);
  EngineRule rule;
  rule.service = {ReadText(reader, faults, "service", kNameRule)};
  rule.min_prefill_engines = static_cast<int32_t>(
      reader.Integer("min_prefill_engines", 0, kMaxBackendServers,
                     defaults.min_prefill_engines));
  rule.min_decode_engines = static_cast<int32_t>(
      reader.Integer("min_decode_engines", 0, kMaxBackendServers,
                     defaults.min_decode_engines));
  rule.dwell_ms = reader.Integer("dwell_ms", 0, kMaxDwellMs, defaults.dwell_ms);
  rule.change_roles = reader.Boolean("change_roles", defaults.change_roles);
  reader.Finish();
  return rule;
}

Limits ReadLimits(const json& item,
                  const std::string& path,
                  std::vector<Fault>& faults) {
  const Limits defaults;
  FieldReader reader(item, path, faults);
  Limits limits;
  limits.max_body_bytes = reader.Integer("max_body_bytes", 1, kMaxBodyBytes,
                                         defaults.max_body_bytes);
  limits.max_deadline_ms = reader.Integer("max_deadline_ms", 1, kMaxDeadlineMs,
                                          defaults.max_deadline_ms);
  limits.max_queued_per_account = static_cast<int32_t>(
      reader.Integer("max_queued_per_account", 1, kMaxQueued,
                     defaults.max_queued_per_account));
  limits.staleness_limit_ms =
      reader.Integer("staleness_limit_ms", kMinStalenessLimitMs,
                     kMaxStalenessLimitMs, defaults.staleness_limit_ms);
  limits.balancer_delay_ms = reader.Integer(
      "balancer_delay_ms", 0, kMaxBalancerDelayMs, defaults.balancer_delay_ms);
  limits.usage_window_ms =
      reader.Integer("usage_window_ms", kMinUsageWindowMs, kMaxUsageWindowMs,
                     defaults.usage_window_ms);
  limits.usage_grace_ms = reader.Integer("usage_grace_ms", 0, kMaxUsageWindowMs,
                                         defaults.usage_grace_ms);
  reader.Finish();
  return limits;
}

// Reads each element of an array with `read(element, path)`.
template <typename Read>
auto ReadAll(const json& array, const std::string& path, const Read& read) {
  std::vector<decltype(read(array, path))> items;
  items.reserve(array.size());
  for (size_t i = 0; i < array.size(); ++i) {
    items.push_back(read(array[i], path + "/" + std::to_string(i)));
  }
  return items;
}

}  // namespace

Declaration ReadDeclaration(const json& document,
                            const std::string& path,
                            std::vector<Fault>& faults) {
  FieldReader reader(document, path, faults);
  Declaration declaration;
  const FaultCheckpoint checkpoint(faults);
  declaration.limits =
      ReadLimits(reader.Object("limits"), reader.PathOf("limits"), faults);
  const int64_t max_deadline_ms =
      checkpoint.clean() ? declaration.limits.max_deadline_ms : kMaxDeadlineMs;
  declaration.client_accounts =
      ReadAll(reader.Array("client_accounts"), reader.PathOf("client_accounts"),
              [&](const json& item, const std::string& item_path) {
                return ReadClientAccount(item, item_path, faults);
              });
  declaration.services =
      ReadAll(reader.Array("services"), reader.PathOf("services"),
              [&](const json& item, const std::string& item_path) {
                return ReadService(item, item_path, faults);
              });
  declaration.routes =
      ReadAll(reader.Array("routes"), reader.PathOf("routes"),
              [&](const json& item, const std::string& item_path) {
                return ReadRoute(item, item_path, max_deadline_ms, faults);
              });
  declaration.engine_rules =
      ReadAll(reader.Array("engine_rules"), reader.PathOf("engine_rules"),
              [&](const json& item, const std::string& item_path) {
                return ReadEngineRule(item, item_path, faults);
              });
  reader.Finish();
  return declaration;
}

std::vector<Key> ReadKeys(const json& array,
                          const std::string& path,
                          std::vector<Fault>& faults) {
  return ReadAll(array, path,
                 [&](const json& item, const std::string& item_path) {
                   FieldReader reader(item, item_path, faults);
                   Key key;
                   key.sha256 = ReadText(reader, faults, "sha256", kSha256Rule);
                   key.client_account = {
                       ReadText(reader, faults, "client_account", kNameRule)};
                   key.label = ReadText(reader, faults, "label", kLabelRule);
                   reader.Finish();
                   return key;
                 });
}

}  // namespace carawayvalve::config::detail
