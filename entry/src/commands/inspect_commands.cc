#include "inspect_commands.h"

#include <nlohmann/json.hpp>

#include "carawayvalve/base/error.h"
#include "carawayvalve/systems/http_client.h"
#include "exit_code.h"

namespace carawayvalve::entry::commands {

using nlohmann::ordered_json;

namespace {

ordered_json Fetch(const std::string& address, const std::string& path) {
  constexpr int kOk = 200;
  const std::string step = "GET " + path;
  systems::HttpRequest request;
  request.url = "http://" + address + path;
  const systems::HttpResponse response = systems::HttpCall(step, request);
  if (response.status != kOk) {
    throw base::Error(step, address,
                      "answered " + std::to_string(response.status));
  }
  try {
    return ordered_json::parse(response.body);
  } catch (const ordered_json::exception& error) {
    throw base::Error(step, address, error.what());
  }
}

std::string FormatValue(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Formats the members of an object, or any other value, on one line.
std::string FormatMembers(const ordered_json& value) {
  if (!value.is_object()) {
    return FormatValue(value);
  }
  std::string text;
  for (const auto& [name, member] : value.items()) {
    text.append(text.empty() ? "" : " ").append(name).append("=");
    text += FormatValue(member);
  }
  return text;
}

}  // namespace

void PrintReadable(const ordered_json& document, std::ostream& output) {
  for (const auto& [name, value] : document.items()) {
    if (!value.is_array()) {
      output << name << ": " << FormatMembers(value) << "\n";
      continue;
    }
    output << name << ": " << (value.empty() ? "none" : "") << "\n";
    for (const ordered_json& element : value) {
      output << "  " << FormatMembers(element) << "\n";
    }
  }
}

int Run(const StatusCommand& command, std::ostream& output) {
  const ordered_json status = Fetch(command.operator_address, "/status");
  if (command.json) {
    output << status.dump() << "\n";
  } else {
    PrintReadable(status, output);
  }
  return kExitDone;
}

int Run(const DumpCommand& command, std::ostream& output) {
  constexpr int kOneLine = -1;
  constexpr int kReadableIndent = 2;
  const ordered_json state = Fetch(command.operator_address, "/dump");
  output << state.dump(command.json ? kOneLine : kReadableIndent) << "\n";
  return kExitDone;
}

}  // namespace carawayvalve::entry::commands
