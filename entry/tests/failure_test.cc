#include "commands/failure.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "carawayvalve/entry/configuration_store.h"
#include "commands/exit_code.h"

namespace carawayvalve::entry::commands {

namespace {

struct FailureOutput {
  int exit_code = 0;
  std::string text;
};

FailureOutput OutputOf(const std::exception& error, bool json = false) {
  std::ostringstream errors;
  const int exit_code = ReportFailure(error, json, errors);
  return {exit_code, errors.str()};
}

}  // namespace

TEST_CASE("a failed command") {
  const DocumentError faults(
      "d.json", {{"/routes/0/service", "is missing", "a value is required"}});

  SUBCASE("ends with the exit code of its cause") {
    CHECK(OutputOf(faults).exit_code == kExitFaults);
    CHECK(OutputOf(ConflictError(7)).exit_code == kExitConflict);
    CHECK(
        OutputOf(base::NotReachedError("get", "store", "refused")).exit_code ==
        kExitOutOfReach);
    CHECK(OutputOf(base::UnknownOutcomeError("put", "store", "timeout"))
              .exit_code == kExitOutOfReach);
    CHECK(OutputOf(base::Error("get", "store", "odd")).exit_code ==
          kExitFailed);
    CHECK(OutputOf(std::runtime_error("odd")).exit_code == kExitFailed);
  }

  SUBCASE("prints each fault with its path") {
    const std::string text = OutputOf(faults).text;
    CHECK(text.find("d.json: /routes/0/service is missing\n  allowed: a value "
                    "is required\n") == 0);
  }

  SUBCASE("prints the same as JSON for programs") {
    const auto report = nlohmann::json::parse(OutputOf(faults, true).text);
    CHECK(report["exit_code"] == kExitFaults);
    CHECK(report["faults"][0]["path"] == "/routes/0/service");
    CHECK(nlohmann::json::parse(
              OutputOf(ConflictError(7), true).text)["generation"] == 7);
  }
}

}  // namespace carawayvalve::entry::commands
