#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/config/canonical.h"
#include "carawayvalve/config/json.h"
#include "write_json.h"

namespace carawayvalve::config {

using nlohmann::ordered_json;

namespace {

// Each field's value as one line of JSON, keyed by the field's path.
using Fields = std::map<std::string, std::string>;

void AddFields(const ordered_json& value,
               const ordered_json::json_pointer& path,
               Fields& fields) {
  if (!value.is_object()) {
    fields.emplace(path.to_string(), detail::Dump(value, -1));
    return;
  }
  for (const auto& [name, member] : value.items()) {
    AddFields(member, path / name, fields);
  }
}

// Identifies items by name, since an index shifts when an item is inserted
// before it.
template <typename Item, typename NameOf>
void AddItems(const std::vector<Item>& items,
              const std::string& array_name,
              const NameOf& name_of,
              Fields& fields) {
  for (const Item& item : items) {
    const ordered_json::json_pointer path;
    AddFields(detail::ToJson(item), path / array_name / name_of(item), fields);
  }
}

Fields FieldsOf(const Declaration& declaration) {
  const auto name = [](const auto& item) { return item.name.value; };
  const auto service = [](const auto& rule) { return rule.service.value; };
  const ordered_json::json_pointer root;
  Fields fields;
  AddItems(declaration.client_accounts, "client_accounts", name, fields);
  AddItems(declaration.services, "services", name, fields);
  AddItems(declaration.routes, "routes", name, fields);
  AddItems(declaration.engine_rules, "engine_rules", service, fields);
  AddFields(detail::ToJson(declaration.limits), root / "limits", fields);
  return fields;
}

}  // namespace

std::vector<std::string> Diff(const Declaration& from, const Declaration& to) {
  constexpr const char* kAbsent = "(absent)";
  const Fields old_fields = FieldsOf(Canonical(from));
  const Fields new_fields = FieldsOf(Canonical(to));
  // The union of both sides' paths, in order.
  Fields paths = old_fields;
  for (const auto& [path, value] : new_fields) {
    paths.emplace(path, kAbsent);
  }
  std::vector<std::string> lines;
  for (const auto& [path, old_value] : paths) {
    const auto found = new_fields.find(path);
    const std::string new_value =
        found == new_fields.end() ? kAbsent : found->second;
    if (old_value != new_value) {
      std::string line = path;
      line.append(": ").append(old_value).append(" -> ").append(new_value);
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

}  // namespace carawayvalve::config
