#include <docopt/docopt.h>

#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "carawayvalve/base/process_memory.h"
#include "commands/command_line.h"
#include "commands/exit_code.h"
#include "commands/failure.h"
#include "commands/manual.h"

namespace carawayvalve::entry::commands {

namespace {

// Parses the command line with docopt.
ArgumentValues Parse(const std::vector<std::string>& words) {
  ArgumentValues values;
  for (const auto& [name, value] :
       docopt::docopt_parse(Manual(), words, true, false)) {
    if (value.isBool()) {
      values[name] = value.asBool();
    } else if (value.isString()) {
      values[name] = value.asString();
    } else {
      values[name] = std::monostate();
    }
  }
  return values;
}

int RunCommand(const Command& command) {
  return std::visit([](const auto& known) { return Run(known, std::cout); },
                    command);
}

int ReportUsage(const std::exception& error) {
  std::cerr << "carawayvalve: " << error.what()
            << "\nTry `carawayvalve --help`.\n";
  return kExitUsage;
}

int Main(const std::vector<std::string>& words) {
  bool json = false;
  try {
    const ArgumentValues values = Parse(words);
    json = values.at("--json") == ArgumentValue(true);
    return RunCommand(ToCommand(values));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << Manual();
    return kExitDone;
  } catch (const docopt::DocoptArgumentError& error) {
    return ReportUsage(error);
  } catch (const UsageError& error) {
    return ReportUsage(error);
  } catch (const std::exception& error) {
    return ReportFailure(error, json, std::cerr);
  }
}

}  // namespace

}  // namespace carawayvalve::entry::commands

int main(int argc, char** argv) {
  carawayvalve::base::ReturnLargeBlocks();
  return carawayvalve::entry::commands::Main({argv + 1, argv + argc});
}
