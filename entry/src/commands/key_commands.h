#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_KEY_COMMANDS_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_KEY_COMMANDS_H_

#include <ostream>
#include <string>

#include "key_changes.h"

namespace carawayvalve::entry::commands {

// Generates a key for a client account and prints it once; only its digest is
// stored.
struct KeyGrantCommand {
  base::ClientAccountId client_account;
  std::string label;
  std::string store;
  bool json = false;

  bool operator==(const KeyGrantCommand&) const = default;
};

// Removes a key from the configuration; done once the change is accepted.
struct KeyWithdrawCommand {
  KeySelector selector;
  std::string store;
  bool json = false;

  bool operator==(const KeyWithdrawCommand&) const = default;
};

// Run the command and return the exit code. Throw exceptions that ReportFailure
// accepts.
int Run(const KeyGrantCommand& command, std::ostream& output);
int Run(const KeyWithdrawCommand& command, std::ostream& output);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_KEY_COMMANDS_H_
