#ifndef CARAWAYVALVE_CORE_CLIENT_KEY_INDEX_H_
#define CARAWAYVALVE_CORE_CLIENT_KEY_INDEX_H_

#include <optional>
#include <string>
#include <unordered_map>

#include "carawayvalve/base/ids.h"
#include "carawayvalve/config/configuration.h"

namespace carawayvalve::core {

// Maps keys to client accounts for one generation of the configuration. A
// withdrawn key, a key whose account isn't declared, and a key that several
// accounts share have no account.
class ClientKeyIndex {
 public:
  explicit ClientKeyIndex(const config::Configuration& configuration);

  // Returns the account of a key in the form that a caller presents.
  std::optional<base::ClientAccountId> AccountOf(const std::string& key) const;

  // Like AccountOf, for a key of which only the SHA-256 digest is known, such
  // as the key of a request in flight when the configuration changes.
  std::optional<base::ClientAccountId> AccountOfDigest(
      const std::string& sha256) const;

  size_t size() const { return this->accounts.size(); }

 private:
  std::unordered_map<std::string, base::ClientAccountId> accounts;
};

}  // namespace carawayvalve::core

#endif  // CARAWAYVALVE_CORE_CLIENT_KEY_INDEX_H_
