#include "carawayvalve/config/canonical.h"

#include <algorithm>
#include <tuple>

namespace carawayvalve::config {

namespace {

// Stable, so that duplicates keep their order.
template <typename Item, typename KeyOf>
void SortBy(std::vector<Item>& items, const KeyOf& key_of) {
  std::stable_sort(items.begin(), items.end(),
                   [&](const Item& left, const Item& right) {
                     return key_of(left) < key_of(right);
                   });
}

}  // namespace

Declaration Canonical(const Declaration& declaration) {
  const auto by_name = [](const auto& item) -> const auto& {
    return item.name;
  };
  Declaration sorted = declaration;
  SortBy(sorted.client_accounts, by_name);
  SortBy(sorted.services, by_name);
  SortBy(sorted.routes, by_name);
  SortBy(
      sorted.engine_rules,
      [](const EngineRule& rule) -> const auto& { return rule.service; });
  for (Service& service : sorted.services) {
    std::sort(service.models.begin(), service.models.end());
  }
  for (Route& route : sorted.routes) {
    std::sort(route.methods.begin(), route.methods.end());
  }
  return sorted;
}

Configuration Canonical(const Configuration& configuration) {
  Configuration sorted = configuration;
  sorted.declaration = Canonical(configuration.declaration);
  SortBy(sorted.keys, [](const Key& key) {
    return std::tie(key.client_account, key.label, key.sha256);
  });
  return sorted;
}

}  // namespace carawayvalve::config
