#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_KEY_CHANGES_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_KEY_CHANGES_H_

#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::entry::commands {

// Returns a new key of 256 random bits.
std::string GenerateKey();

// Returns `current` with the key added, or unchanged if it has the key already.
// Throws base::Error if the key's account isn't declared or has another key
// with that label.
config::Configuration WithKey(const config::Configuration& current,
                              const config::Key& key);

// Selects one key by its label, together with its account if several accounts
// have that label, or by its digest.
struct KeySelector {
  std::optional<std::string> label = std::nullopt;
  std::optional<base::ClientAccountId> client_account = std::nullopt;
  std::optional<std::string> sha256 = std::nullopt;

  bool operator==(const KeySelector&) const = default;
};

// Returns the selected key. Throws base::Error unless exactly one key matches.
config::Key SelectKey(const std::vector<config::Key>& keys,
                      const KeySelector& selector);

// Returns `current` without the key; unchanged if the key is already absent.
config::Configuration WithoutKey(const config::Configuration& current,
                                 const config::Key& key);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_KEY_CHANGES_H_
