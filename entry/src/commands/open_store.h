#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_OPEN_STORE_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_OPEN_STORE_H_

#include <string>

#include "carawayvalve/entry/configuration_store.h"

namespace carawayvalve::entry::commands {

// Returns the store behind the Object API at `address`; changes are recorded
// under the name of this operator and host.
ConfigurationStore OpenStore(const std::string& address);

// Makes a change and retries it after a conflict or a lost answer, for changes
// that are independent of other changes. `wanted` must be idempotent: its own
// change may be in force already.
ConfigurationChange ChangeDespiteConflicts(const ConfigurationStore& store,
                                           const ConfigurationFunction& wanted);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_OPEN_STORE_H_
