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

FailureOutput ReportOf(const std::exception& error, bool json = false) {
  std::ostringstream errors;
  const int exit_code = ReportFailure(error, json, errors);
  return {exit_code, errors.str()};
}

}  // namespace

TEST_CASE("a failed command") {
  const DocumentError faults(
      "d.json", {{"/routes/0/service", "is missing", "a value is required"}});

  SUBCASE("ends with the exit code of its cause") {
    CHECK(ReportOf(faults).exit_code == kExitFaults);
    CHECK(ReportOf(ConflictError(7)).exit_code == kExitConflict);
    CHECK(
        ReportOf(base::NotReachedError("get", "store", "refused")).exit_code ==
        kExitOutOfReach);
    CHECK(ReportOf(base::UnknownOutcomeError("put", "store", "timeout"))
              .exit_code == kExitOutOfReach);
    CHECK(ReportOf(base::Error("get", "store", "odd")).exit_code ==
          kExitFailed);
    CHECK(ReportOf(std::runtime_error("odd")).exit_code == kExitFailed);
  }

  SUBCASE("prints each fault with its path") {
    const std::string text = ReportOf(faults).text;
    CHECK(text.find("d.json: /routes/0/service is missing\n  allowed: a value "
                    "is required\n") == 0);
  }

  SUBCASE("prints the same as JSON for programs") {
    const auto report = nlohmann::json::parse(ReportOf(faults, true).text);
    CHECK(report["exit_code"] == kExitFaults);
    CHECK(report["faults"][0]["path"] == "/routes/0/service");
    CHECK(nlohmann::json::parse(
              ReportOf(ConflictError(7), true).text)["generation"] == 7);
  }
}

}  // namespace carawayvalve::entry::commands
