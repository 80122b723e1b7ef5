#include "explain_command.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <vector>

#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/http_client.h"
#include "exit_code.h"
#include "inspect_commands.h"

namespace carawayvalve::entry::commands {

using nlohmann::ordered_json;

namespace {

constexpr int kOk = 200;
constexpr char kStep[] = "explain a request";
constexpr char kCandidates[] = "candidates";

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw base::Error(kStep, path, "can't be opened");
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

ordered_json Ask(const ExplainCommand& command) {
  systems::HttpRequest request;
  request.method = "POST";
  request.url = "http://" + command.operator_address + "/explain";
  request.body = ReadFile(command.path);
  const systems::HttpResponse response = systems::HttpCall(kStep, request);
  if (response.status != kOk) {
    throw base::Error(
        kStep, command.operator_address,
        "answered " + std::to_string(response.status) + ": " + response.body);
  }
  return ordered_json::parse(response.body);
}

// Backend servers that aren't candidates come last.
double CostOf(const ordered_json& candidate) {
  return candidate.value("cost_ms", std::numeric_limits<double>::infinity());
}

}  // namespace

void PrintExplanation(const ordered_json& explanation, std::ostream& output) {
  ordered_json sorted = explanation;
  if (sorted.contains(kCandidates)) {
    std::stable_sort(sorted[kCandidates].begin(), sorted[kCandidates].end(),
                     [](const ordered_json& a, const ordered_json& b) {
                       return CostOf(a) < CostOf(b);
                     });
  }
  PrintReadable(sorted, output);
}

int Run(const ExplainCommand& command, std::ostream& output) {
  const ordered_json explanation = Ask(command);
  if (command.json) {
    output << explanation.dump() << "\n";
  } else {
    PrintExplanation(explanation, output);
  }
  return explanation.value("outcome", "") == "refused" ? kExitFailed
                                                       : kExitDone;
}

}  // namespace carawayvalve::entry::commands
