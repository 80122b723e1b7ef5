#include "carawayvalve/core/client_key_index.h"

#include <set>

namespace carawayvalve::core {

ClientKeyIndex::ClientKeyIndex(const config::Configuration& configuration) {
  std::set<base::ClientAccountId> declared;
  for (const auto& account : configuration.declaration.client_accounts) {
    declared.insert(account.name);
  }
  std::set<std::string> ambiguous;
  for (const config::Key& key : configuration.keys) {
    if (!declared.contains(key.client_account)) {
      continue;
    }
    const auto [place, added] =
        this->accounts.emplace(key.sha256, key.client_account);
    if (!added && place->second != key.client_account) {
      ambiguous.insert(key.sha256);
    }
  }
  // A request runs only for the account whose key came with it, which a key of
  // two accounts doesn't identify.
  for (const std::string& sha256 : ambiguous) {
    this->accounts.erase(sha256);
  }
}

std::optional<base::ClientAccountId> ClientKeyIndex::AccountOf(
    const std::string& key) const {
  return this->AccountOfDigest(base::Sha256(key));
}

std::optional<base::ClientAccountId> ClientKeyIndex::AccountOfDigest(
    const std::string& sha256) const {
  const auto found = this->accounts.find(sha256);
  if (found == this->accounts.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace carawayvalve::core
