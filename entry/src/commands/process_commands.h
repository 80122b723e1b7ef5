#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_PROCESS_COMMANDS_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_PROCESS_COMMANDS_H_

#include <ostream>
#include <string>

namespace carawayvalve::entry::commands {

// Runs an entry process until it receives a stop signal.
struct ServeCommand {
  std::string settings_path;

  bool operator==(const ServeCommand&) const = default;
};

// Runs a gateway until it receives a stop signal.
struct GatewayCommand {
  std::string settings_path;

  bool operator==(const GatewayCommand&) const = default;
};

// Prints example settings with every default.
struct PrintDefaultsCommand {
  bool operator==(const PrintDefaultsCommand&) const = default;
};

// Checks whether settings have faults.
struct CheckSettingsCommand {
  std::string path;
  bool json = false;

  bool operator==(const CheckSettingsCommand&) const = default;
};

// Run the command and return the exit code. Throw exceptions that ReportFailure
// accepts.
int Run(const ServeCommand& command, std::ostream& output);
int Run(const GatewayCommand& command, std::ostream& output);
int Run(const PrintDefaultsCommand& command, std::ostream& output);
int Run(const CheckSettingsCommand& command, std::ostream& output);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_PROCESS_COMMANDS_H_
