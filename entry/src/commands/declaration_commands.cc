#include "declaration_commands.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "carawayvalve/config/json.h"
#include "exit_code.h"
#include "failure.h"
#include "files.h"
#include "open_store.h"

namespace carawayvalve::entry::commands {

using config::Configuration;
using config::Declaration;
using nlohmann::ordered_json;

namespace {

std::string FormatCount(size_t number, const std::string& noun) {
  return std::to_string(number) + " " + noun + (number == 1 ? "" : "s");
}

std::string Summarize(const Declaration& declaration) {
  return FormatCount(declaration.client_accounts.size(), "client account") +
         ", " + FormatCount(declaration.services.size(), "service") + ", " +
         FormatCount(declaration.routes.size(), "route") + ", " +
         FormatCount(declaration.engine_rules.size(), "engine rule");
}

void PrintLines(const std::vector<std::string>& lines, std::ostream& output) {
  for (const std::string& line : lines) {
    output << line << "\n";
  }
}

// Returns `current` with another declaration. Throws DocumentError if the
// result is inconsistent, such as a key whose account isn't declared any more.
Configuration WithDeclaration(const Configuration& current,
                              const Declaration& declaration,
                              const std::string& path) {
  Configuration next = current;
  next.declaration = declaration;
  ThrowIfAny(path, config::CheckConfiguration(next));
  return next;
}

}  // namespace

int Run(const CheckCommand& command, std::ostream& output) {
  const Declaration declaration = ReadDeclarationFile(command.path);
  PrintNoFaults(command.path, Summarize(declaration), command.json, output);
  return kExitDone;
}

int Run(const DiffCommand& command, std::ostream& output) {
  const Declaration declaration = ReadDeclarationFile(command.path);
  const Configuration current =
      OpenStore(command.store).Read().value_or(Configuration());
  WithDeclaration(current, declaration, command.path);
  const std::vector<std::string> changes =
      config::Diff(current.declaration, declaration);
  if (command.json) {
    output << ordered_json(
                  {{"generation", current.generation}, {"changes", changes}})
                  .dump()
           << "\n";
    return kExitDone;
  }
  PrintLines(changes, output);
  output << FormatCount(changes.size(), "change") << " to generation "
         << current.generation << "\n";
  return kExitDone;
}

int Run(const ApplyCommand& command, std::ostream& output) {
  const Declaration declaration = ReadDeclarationFile(command.path);
  std::vector<std::string> changes;
  const auto apply_declaration = [&](const Configuration& current) {
    if (command.expected_generation.value_or(current.generation) !=
        current.generation) {
      throw ConflictError(current.generation);
    }
    changes = config::Diff(current.declaration, declaration);
    if (!command.json) {
      PrintLines(changes, output);
    }
    return WithDeclaration(current, declaration, command.path);
  };
  const ConfigurationChange change =
      OpenStore(command.store).Change(apply_declaration);
  const int64_t generation = change.configuration.generation;
  if (command.json) {
    output << ordered_json({{"generation", generation},
                            {"changed", change.changed},
                            {"changes", changes}})
                  .dump()
           << "\n";
    return kExitDone;
  }
  output << (change.changed ? "accepted as generation "
                            : "nothing differs from generation ")
         << generation << "\n";
  return kExitDone;
}

}  // namespace carawayvalve::entry::commands
