#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

#include "carawayvalve/agent/agent.h"
#include "carawayvalve/base/error.h"
#include "carawayvalve/base/process_memory.h"

namespace {

constexpr char kUsage[] = R"(carawayvalve-agent: runs beside one backend server.

It takes requests from entry processes, queues them, runs them at its backend
server and keeps their answers until they are read. On SIGTERM it finishes the
requests that it has accepted, then stops.

Usage:
  carawayvalve-agent --settings=FILE
  carawayvalve-agent --check=FILE
  carawayvalve-agent --print-defaults
  carawayvalve-agent --help

Options:
  --settings=FILE   Run with this settings file (JSON with comments).
  --check=FILE      Only check the settings file.
  --print-defaults  Print a settings file that explains every field.
  --help            Print this text.

An address that is in use is waited for.

Exit codes: 0 done; 1 failed; 2 wrong command line; 3 faults in the settings, or
the file can't be read.
)";

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFaults = 3;

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    throw carawayvalve::base::Error("read settings", path, "can't open it");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int Run(std::map<std::string, docopt::value> options) {
  using carawayvalve::agent::AgentSettings;
  if (options["--print-defaults"].asBool()) {
    std::cout << carawayvalve::agent::PrintDefaultAgentSettings();
    return kExitDone;
  }
  const bool check = options["--check"].isString();
  const std::string path = options[check ? "--check" : "--settings"].asString();
  AgentSettings settings;
  try {
    settings = carawayvalve::agent::ParseAgentSettings(ReadFile(path), path);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kExitFaults;
  }
  if (check) {
    std::cout << path << ": no faults\n";
    return kExitDone;
  }
  try {
    return carawayvalve::agent::RunAgent(settings);
  } catch (const std::exception& error) {
    std::cerr << "carawayvalve-agent: " << error.what() << '\n';
    return kExitFailed;
  }
}

}  // namespace

int main(int argc, char** argv) {
  carawayvalve::base::ReturnLargeBlocks();
  try {
    // docopt::docopt() would end the process itself, with exit code -1.
    return Run(
        docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, false));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return kExitDone;
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << "carawayvalve-agent: " << error.what()
              << "\nTry `carawayvalve-agent --help`.\n";
    return kExitUsage;
  }
}
