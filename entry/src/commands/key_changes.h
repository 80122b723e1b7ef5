#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_KEY_CHANGES_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_KEY_CHANGES_H_

#include <optional>
#include <string>
#include <vector>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::entry::commands {

// Returns a fresh key of 256 random bits.
std::string GenerateKey();

// Adds a key; one that is there already changes nothing. Throws base::Error
// when its account isn't declared or has another key of that label.
config::Configuration WithKey(const config::Configuration& current,
                              const config::Key& key);

// Picks one key by its label, and by its account if several accounts have
// that label, or by its digest.
struct KeySelector {
  std::optional<std::string> label = std::nullopt;
  std::optional<base::ClientAccountId> client_account = std::nullopt;
  std::optional<std::string> sha256 = std::nullopt;

  bool operator==(const KeySelector&) const = default;
};

// Throws base::Error when no key or more than one is picked.
config::Key SelectKey(const std::vector<config::Key>& keys,
                      const KeySelector& selector);

// Takes a key out; one that is gone already changes nothing.
config::Configuration WithoutKey(const config::Configuration& current,
                                 const config::Key& key);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_KEY_CHANGES_H_
