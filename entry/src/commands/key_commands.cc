#include "key_commands.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "exit_code.h"
#include "open_store.h"

namespace carawayvalve::entry::commands {

using config::Configuration;
using config::Key;
using nlohmann::ordered_json;

namespace {

ordered_json ToJson(const Key& key, int64_t generation) {
  return {{"sha256", key.sha256},
          {"client_account", key.client_account.value},
          {"label", key.label},
          {"generation", generation}};
}

}  // namespace

int Run(const KeyGrantCommand& command, std::ostream& output) {
  const std::string secret = GenerateKey();
  const Key key{base::Sha256(secret), command.client_account, command.label};
  const ConfigurationChange change = ChangeDespiteConflicts(
      OpenStore(command.store),
      [&](const Configuration& current) { return WithKey(current, key); });
  const int64_t generation = change.configuration.generation;
  if (command.json) {
    ordered_json document = {{"key", secret}};
    document.update(ToJson(key, generation));
    output << document.dump() << "\n";
    return kExitDone;
  }
  output << secret << "\n"
         << "granted to " << key.client_account.value << " in generation "
         << generation << "; the key isn't shown again\n"
         << "sha256 " << key.sha256 << "\n";
  return kExitDone;
}

int Run(const KeyWithdrawCommand& command, std::ostream& output) {
  // Selected only once: after a lost answer the key may already be removed.
  std::optional<Key> key;
  const ConfigurationChange change = ChangeDespiteConflicts(
      OpenStore(command.store), [&](const Configuration& current) {
        if (!key.has_value()) {
          key = SelectKey(current.keys, command.selector);
        }
        return WithoutKey(current, *key);
      });
  const int64_t generation = change.configuration.generation;
  if (command.json) {
    output << ToJson(*key, generation).dump() << "\n";
    return kExitDone;
  }
  output << "withdrawn from " << key->client_account.value << " in generation "
         << generation << "\n"
         << "sha256 " << key->sha256 << "\n";
  return kExitDone;
}

}  // namespace carawayvalve::entry::commands
