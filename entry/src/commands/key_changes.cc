#include "key_changes.h"

#include <algorithm>

#include "carawayvalve/base/error.h"

namespace carawayvalve::entry::commands {

using config::Configuration;
using config::Key;

namespace {

constexpr char kConfigurationName[] = "configuration";

bool Matches(const KeySelector& selector, const Key& key) {
  return selector.label.value_or(key.label) == key.label &&
         selector.client_account.value_or(key.client_account) ==
             key.client_account &&
         selector.sha256.value_or(key.sha256) == key.sha256;
}

std::string FormatKeys(const std::vector<Key>& keys) {
  std::string list;
  for (const Key& key : keys) {
    list += "\n  " + key.client_account.value + " \"" + key.label +
            "\" --sha256=" + key.sha256;
  }
  return list;
}

}  // namespace

std::string GenerateKey() {
  return "cvk_" + base::RandomName() + base::RandomName();
}

Configuration WithKey(const Configuration& current, const Key& key) {
  if (std::find(current.keys.begin(), current.keys.end(), key) !=
      current.keys.end()) {
    return current;
  }
  const auto& accounts = current.declaration.client_accounts;
  if (std::none_of(accounts.begin(), accounts.end(), [&](const auto& account) {
        return account.name == key.client_account;
      })) {
    throw base::Error("grant key", kConfigurationName,
                      "there is no client account \"" +
                          key.client_account.value + "\" in generation " +
                          std::to_string(current.generation));
  }
  if (std::any_of(current.keys.begin(), current.keys.end(),
                  [&](const Key& other) {
                    return other.client_account == key.client_account &&
                           other.label == key.label;
                  })) {
    throw base::Error("grant key", kConfigurationName,
                      key.client_account.value +
                          " has a key with the label \"" + key.label +
                          "\" already");
  }
  Configuration next = current;
  next.keys.push_back(key);
  return next;
}

Key SelectKey(const std::vector<Key>& keys, const KeySelector& selector) {
  std::vector<Key> found;
  std::copy_if(keys.begin(), keys.end(), std::back_inserter(found),
               [&](const Key& key) { return Matches(selector, key); });
  if (found.empty()) {
    throw base::Error("withdraw key", kConfigurationName,
                      "no key matches the given label, account or digest");
  }
  if (found.size() > 1) {
    throw base::Error("withdraw key", kConfigurationName,
                      "several accounts have such a key, name one with "
                      "--account or --sha256:" +
                          FormatKeys(found));
  }
  return found.front();
}

Configuration WithoutKey(const Configuration& current, const Key& key) {
  Configuration next = current;
  std::erase(next.keys, key);
  return next;
}

}  // namespace carawayvalve::entry::commands
