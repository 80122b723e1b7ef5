#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_COMMAND_LINE_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_COMMAND_LINE_H_

#include <map>
#include <stdexcept>
#include <string>
#include <variant>

#include "declaration_commands.h"
#include "explain_command.h"
#include "inspect_commands.h"
#include "key_commands.h"
#include "process_commands.h"

namespace carawayvalve::entry::commands {

using Command = std::variant<ServeCommand,
                             GatewayCommand,
                             PrintDefaultsCommand,
                             CheckCommand,
                             CheckSettingsCommand,
                             DiffCommand,
                             ApplyCommand,
                             KeyGrantCommand,
                             KeyWithdrawCommand,
                             StatusCommand,
                             DumpCommand,
                             ExplainCommand>;

// The value of one element of Manual()'s usage: monostate for an option or
// argument that isn't given, bool for a command or flag, else the given text.
using ArgumentValue = std::variant<std::monostate, bool, std::string>;
using ArgumentValues = std::map<std::string, ArgumentValue>;

// A value on the command line is malformed or missing.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the command that the values describe. `values` must have every
// element of Manual()'s usage. Throws UsageError.
Command ToCommand(const ArgumentValues& values);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_COMMAND_LINE_H_
