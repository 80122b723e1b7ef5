#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_EXPLAIN_COMMAND_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_EXPLAIN_COMMAND_H_

#include <nlohmann/json_fwd.hpp>
#include <ostream>
#include <string>

namespace carawayvalve::entry::commands {

// Asks a gateway where a request would go now, and why. Nothing is sent to a
// backend server.
struct ExplainCommand {
  // File with the request as JSON, see docs/OPERATING.md.
  std::string path;
  std::string operator_address;
  bool json = false;

  bool operator==(const ExplainCommand&) const = default;
};

// Runs the command and returns kExitDone, or kExitFailed if the request would
// be refused. Throws exceptions that ReportFailure accepts.
int Run(const ExplainCommand& command, std::ostream& output);

// Prints a gateway's explanation: the outcome, then one line for each backend
// server of the service, the cheapest first.
void PrintExplanation(const nlohmann::ordered_json& explanation,
                      std::ostream& output);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_EXPLAIN_COMMAND_H_
