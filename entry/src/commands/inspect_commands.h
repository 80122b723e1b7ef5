#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_INSPECT_COMMANDS_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_INSPECT_COMMANDS_H_

#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>

namespace carawayvalve::entry::commands {

// Shows the status of one entry process.
struct StatusCommand {
  std::string operator_address;
  bool json = false;

  bool operator==(const StatusCommand&) const = default;
};

// Prints the whole state dump of one entry process.
struct DumpCommand {
  std::string operator_address;
  bool json = false;

  bool operator==(const DumpCommand&) const = default;
};

// Run the command and return the exit code. Throw exceptions that ReportFailure
// accepts.
int Run(const StatusCommand& command, std::ostream& output);
int Run(const DumpCommand& command, std::ostream& output);

// Prints a document in readable form: one line for each member, and one for
// each element of a list.
void PrintReadable(const nlohmann::ordered_json& document,
                   std::ostream& output);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_INSPECT_COMMANDS_H_
