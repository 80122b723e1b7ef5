#include "carawayvalve/core/serving_table.h"

#include <algorithm>

namespace carawayvalve::core {

namespace {

std::string WithoutPort(const std::string& host) {
  return host.substr(0, host.find(':'));
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

ServingTable::ServingTable(const config::ServingPlan& serving_plan)
    : plan(serving_plan) {
  for (const config::ServingRoute& route : this->plan.routes) {
    this->routes[route.host].push_back(&route);
  }
  for (auto& [host, host_routes] : this->routes) {
    std::stable_sort(host_routes.begin(), host_routes.end(),
                     [](const auto* a, const auto* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
  for (const config::ServingAccount& account : this->plan.accounts) {
    for (const std::string& key : account.keys) {
      this->keys.emplace(key, &account);
    }
  }
  for (const config::ServingService& service : this->plan.services) {
    this->services.emplace(service.name, &service);
  }
}

const config::ServingRoute* ServingTable::FindRoute(
    const std::string& host,
    std::string_view target) const {
  const auto found = this->routes.find(WithoutPort(host));
  if (found == this->routes.end()) {
    return nullptr;
  }
  const std::string_view path = PathOf(target);
  const auto route = std::find_if(
      found->second.begin(), found->second.end(),
      [&](const auto* known) { return path.starts_with(known->path_prefix); });
  return route == found->second.end() ? nullptr : *route;
}

const config::ServingAccount* ServingTable::FindAccount(
    const std::string& key) const {
  const auto found = this->keys.find(key);
  return found == this->keys.end() ? nullptr : found->second;
}

const config::ServingService* ServingTable::FindService(
    const base::ServiceId& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? nullptr : found->second;
}

const base::ServiceId& ChooseService(const config::ServingRoute& route,
                                     const std::string& request_id) {
  int64_t total = 0;
  for (const config::ServiceShare& share : route.services) {
    total += std::max<int64_t>(share.weight, 0);
  }
  if (total <= 0) {
    return route.services.front().service;
  }
  auto remaining = static_cast<int64_t>(base::StableHash(request_id) %
                                        static_cast<uint64_t>(total));
  for (const config::ServiceShare& share : route.services) {
    remaining -= std::max<int64_t>(share.weight, 0);
    if (remaining < 0) {
      return share.service;
    }
  }
  return route.services.back().service;
}

}  // namespace carawayvalve::core
