#ifndef CARAWAYVALVE_ENTRY_SRC_COMMANDS_DECLARATION_COMMANDS_H_
#define CARAWAYVALVE_ENTRY_SRC_COMMANDS_DECLARATION_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>

namespace carawayvalve::entry::commands {

// Checks whether a declaration could be applied, without calling the store.
struct CheckCommand {
  std::string path;
  bool json = false;

  bool operator==(const CheckCommand&) const = default;
};

// Shows what a declaration would change.
struct DiffCommand {
  std::string path;
  std::string store;
  bool json = false;

  bool operator==(const DiffCommand&) const = default;
};

// Puts a declaration in force.
struct ApplyCommand {
  std::string path;
  std::string store;
  // If set, the declaration is applied only if this generation is in force.
  std::optional<int64_t> expected_generation;
  bool json = false;

  bool operator==(const ApplyCommand&) const = default;
};

// Run the command and return the exit code. Throw exceptions that ReportFailure
// accepts.
int Run(const CheckCommand& command, std::ostream& output);
int Run(const DiffCommand& command, std::ostream& output);
int Run(const ApplyCommand& command, std::ostream& output);

}  // namespace carawayvalve::entry::commands

#endif  // CARAWAYVALVE_ENTRY_SRC_COMMANDS_DECLARATION_COMMANDS_H_
