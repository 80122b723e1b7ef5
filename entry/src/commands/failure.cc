#include "failure.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "carawayvalve/entry/configuration_store.h"
#include "exit_code.h"

namespace carawayvalve::entry::commands {

using nlohmann::ordered_json;

namespace {

template <typename Kind>
const Kind* CastTo(const std::exception& error) {
  return dynamic_cast<const Kind*>(&error);
}

int ExitCodeFor(const std::exception& error) {
  if (CastTo<DocumentError>(error) != nullptr) {
    return kExitFaults;
  }
  if (CastTo<ConflictError>(error) != nullptr) {
    return kExitConflict;
  }
  if (CastTo<base::NotReachedError>(error) != nullptr ||
      CastTo<base::UnknownOutcomeError>(error) != nullptr) {
    return kExitOutOfReach;
  }
  return kExitFailed;
}

ordered_json ToJson(const std::exception& error, int exit_code) {
  ordered_json description = {{"exit_code", exit_code},
                              {"error", error.what()}};
  if (const auto* base_error = CastTo<base::Error>(error)) {
    description["step"] = base_error->step();
    description["peer"] = base_error->peer();
    description["error"] = base_error->reason();
  }
  if (const auto* conflict = CastTo<ConflictError>(error)) {
    description["generation"] = conflict->generation();
  }
  if (const auto* document = CastTo<DocumentError>(error)) {
    for (const base::Fault& fault : document->faults()) {
      description["faults"].push_back({{"path", fault.path},
                                       {"reason", fault.reason},
                                       {"allowed", fault.allowed}});
    }
  }
  return description;
}

std::string CountFaults(size_t count) {
  return std::to_string(count) + (count == 1 ? " fault" : " faults");
}

void PrintFaults(const DocumentError& error, std::ostream& errors) {
  for (const base::Fault& fault : error.faults()) {
    errors << error.peer() << ": " << (fault.path.empty() ? "/" : fault.path)
           << " " << fault.reason << "\n  allowed: " << fault.allowed << "\n";
  }
}

}  // namespace

DocumentError::DocumentError(const std::string& source,
                             std::vector<base::Fault> faults)
    : Error("check", source, CountFaults(faults.size())),
      fault_list(std::move(faults)) {}

void ThrowIfAny(const std::string& source,
                const std::vector<base::Fault>& faults) {
  if (!faults.empty()) {
    throw DocumentError(source, faults);
  }
}

int ReportFailure(const std::exception& error,
                  bool json,
                  std::ostream& errors) {
  const int exit_code = ExitCodeFor(error);
  if (json) {
    errors << ToJson(error, exit_code)
                  .dump(-1, ' ', false, ordered_json::error_handler_t::replace)
           << "\n";
    return exit_code;
  }
  if (const auto* document = CastTo<DocumentError>(error)) {
    PrintFaults(*document, errors);
  }
  errors << "carawayvalve: " << error.what() << "\n";
  if (CastTo<base::UnknownOutcomeError>(error) != nullptr) {
    errors
        << "No answer was received. A change that the command makes may have "
           "taken effect; running it again is safe.\n";
  }
  return exit_code;
}

void PrintNoFaults(const std::string& path,
                   const std::string& summary,
                   bool json,
                   std::ostream& output) {
  if (json) {
    output << ordered_json({{"faults", ordered_json::array()}}).dump() << "\n";
  } else {
    output << path << " has no faults: " << summary << "\n";
  }
}

}  // namespace carawayvalve::entry::commands
