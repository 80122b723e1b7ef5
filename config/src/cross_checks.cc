#include "cross_checks.h"

#include <map>
#include <set>
#include <utility>

#include "quote.h"
#include "vocabulary.h"

namespace carawayvalve::config::detail {

using base::Fault;

namespace {

constexpr size_t kMaxNamesInFault = 20;

// Records inconsistencies between the items of one declaration.
class CrossChecker {
 public:
  CrossChecker(const Declaration& declaration,
               const std::string& path,
               std::vector<Fault>& faults)
      : declaration(declaration), path(path), faults(faults) {}

  void CheckAll() {
    this->CheckNames("/client_accounts/", this->declaration.client_accounts);
    this->CheckNames("/services/", this->declaration.services);
    this->CheckNames("/routes/", this->declaration.routes);
    this->CheckModels();
    this->CheckRoutes();
    this->CheckOverlaps();
    this->CheckEngineRules();
  }

 private:
  void AddFault(const std::string& item_path,
                const std::string& reason,
                const std::string& allowed) {
    this->faults.push_back({this->path + item_path, reason, allowed});
  }

  template <typename Item>
  void CheckNames(const std::string& item_path,
                  const std::vector<Item>& items) {
    std::map<std::string, size_t> first;
    for (size_t i = 0; i < items.size(); ++i) {
      const std::string& name = items[i].name.value;
      const auto [seen, added] = first.emplace(name, i);
      if (!added && !name.empty()) {
        this->AddFault(item_path + std::to_string(i) + "/name",
                       "the name " + Quote(name) + " is taken by " +
                           this->path + item_path +
                           std::to_string(seen->second),
                       "a name that no other item of the array has");
      }
    }
  }

  // Requests select a model by name alone, so one service must own it.
  void CheckModels() {
    std::map<base::ModelId, size_t> owners;
    for (size_t i = 0; i < this->declaration.services.size(); ++i) {
      for (const base::ModelId& model : this->declaration.services[i].models) {
        const auto [owner, added] = owners.emplace(model, i);
        if (owner->second != i) {
          this->AddFault("/services/" + std::to_string(i) + "/models",
                         "the model " + Quote(model.value) +
                             " belongs to the service at " + this->path +
                             "/services/" + std::to_string(owner->second),
                         "models of no other service");
        }
      }
    }
  }

  const Service* FindService(const base::ServiceId& name) {
    if (this->services.empty()) {
      for (const Service& service : this->declaration.services) {
        this->services.emplace(service.name, &service);
      }
    }
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : found->second;
  }

  // Lists the model services, or the services of both kinds.
  std::string ServiceNames(bool model_services_only) const {
    std::string list;
    size_t count = 0;
    for (const Service& service : this->declaration.services) {
      if (model_services_only && service.kind != ServiceKind::kModel) {
        continue;
      }
      if (++count > kMaxNamesInFault) {
        return list + ", ...";
      }
      list += (list.empty() ? "" : ", ") + service.name.value;
    }
    return list.empty() ? "no service of that kind is declared" : list;
  }

  void CheckRoutes() {
    for (size_t i = 0; i < this->declaration.routes.size(); ++i) {
      const base::ServiceId& service = this->declaration.routes[i].service;
      if (!service.empty() && this->FindService(service) == nullptr) {
        this->AddFault("/routes/" + std::to_string(i) + "/service",
                       "there is no service " + Quote(service.value),
                       this->ServiceNames(false));
      }
    }
  }

  // Routes of one host name and path prefix must have disjoint methods.
  void CheckOverlaps() {
    std::map<std::pair<std::string, std::string>, std::map<std::string, size_t>>
        taken;
    for (size_t i = 0; i < this->declaration.routes.size(); ++i) {
      const Route& route = this->declaration.routes[i];
      if (route.path_prefix.empty()) {
        continue;
      }
      auto& owners = taken[{route.host, route.path_prefix}];
      for (const std::string& method :
           route.methods.empty() ? MethodWords() : route.methods) {
        const auto [owner, added] = owners.emplace(method, i);
        if (owner->second != i) {
          this->AddOverlapFault(i, owner->second, method);
          break;
        }
      }
    }
  }

  void AddOverlapFault(size_t index, size_t other, const std::string& method) {
    const Route& route = this->declaration.routes[index];
    this->AddFault("/routes/" + std::to_string(index) + "/path_prefix",
                   method + " " + route.host + route.path_prefix +
                       " is taken by " + this->path + "/routes/" +
                       std::to_string(other),
                   "a host, path_prefix and methods that no other route has");
  }

  void CheckEngineRules() {
    std::set<base::ServiceId> seen;
    for (size_t i = 0; i < this->declaration.engine_rules.size(); ++i) {
      const EngineRule& rule = this->declaration.engine_rules[i];
      const std::string item_path = "/engine_rules/" + std::to_string(i);
      if (rule.service.empty()) {
        continue;
      }
      if (!seen.insert(rule.service).second) {
        this->AddFault(item_path + "/service",
                       "a rule for " + Quote(rule.service.value) +
                           " appears earlier in the array",
                       "one rule for each service");
      }
      this->CheckEngineRule(rule, item_path);
    }
  }

  void CheckEngineRule(const EngineRule& rule, const std::string& item_path) {
    const Service* service = this->FindService(rule.service);
    if (service == nullptr || service->kind != ServiceKind::kModel) {
      this->AddFault(
          item_path + "/service",
          Quote(rule.service.value) +
              (service == nullptr ? " isn't declared" : " is a plain service"),
          this->ServiceNames(true));
      return;
    }
    if (rule.min_prefill_engines + rule.min_decode_engines >
        service->max_backend_servers) {
      this->AddFault(
          item_path + "/min_prefill_engines",
          "min_prefill_engines and min_decode_engines together are "
          "above max_backend_servers of the service",
          "a sum of 0 to " + std::to_string(service->max_backend_servers));
    }
  }

  const Declaration& declaration;
  const std::string& path;
  std::vector<Fault>& faults;
  std::map<base::ServiceId, const Service*> services;
};

}  // namespace

void CrossCheck(const Declaration& declaration,
                const std::string& path,
                std::vector<Fault>& faults) {
  CrossChecker(declaration, path, faults).CheckAll();
}

void CrossCheckKeys(const Configuration& configuration,
                    const std::string& path,
                    std::vector<Fault>& faults) {
  std::set<base::ClientAccountId> accounts;
  for (const ClientAccount& account :
       configuration.declaration.client_accounts) {
    accounts.insert(account.name);
  }
  std::set<std::string> digests;
  std::set<std::pair<base::ClientAccountId, std::string>> labels;
  for (size_t i = 0; i < configuration.keys.size(); ++i) {
    const Key& key = configuration.keys[i];
    const std::string item_path = path + "/" + std::to_string(i);
    if (!key.client_account.empty() && !accounts.contains(key.client_account)) {
      faults.push_back(
          {item_path + "/client_account",
           "the key " + Quote(key.label) + " belongs to the account " +
               Quote(key.client_account.value) + ", which isn't declared",
           "a declared account; withdraw the keys of an account "
           "before you remove it"});
    }
    if (!key.sha256.empty() && !digests.insert(key.sha256).second) {
      faults.push_back({item_path + "/sha256",
                        "is the digest of an earlier key",
                        "a digest that no other key has"});
    }
    if (!key.label.empty() &&
        !labels.emplace(key.client_account, key.label).second) {
      faults.push_back(
          {item_path + "/label",
           "the account has a key " + Quote(key.label) + " already",
           "a label that no other key of the account has"});
    }
  }
}

}  // namespace carawayvalve::config::detail
