#include "commands/command_line.h"

#include <doctest/doctest.h>

#include <cstdlib>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "commands/exit_code.h"
#include "commands/failure.h"

namespace carawayvalve::entry::commands {

namespace {

// Returns every element of the usage as docopt returns it if none is given.
ArgumentValues NoArguments() {
  ArgumentValues values;
  for (const char* command :
       {"serve", "gateway", "check", "print-defaults", "diff", "apply", "key",
        "grant", "withdraw", "status", "dump", "explain", "--json", "--help"}) {
    values[command] = false;
  }
  for (const char* option :
       {"FILE", "ACCOUNT", "--settings", "--store", "--operator",
        "--expect-generation", "--label", "--account", "--sha256"}) {
    values[option] = std::monostate();
  }
  return values;
}

ArgumentValues WithArguments(const ArgumentValues& given) {
  ArgumentValues values = NoArguments();
  for (const auto& [name, value] : given) {
    values[name] = value;
  }
  return values;
}

const std::string kStore = "127.0.0.1:8000";

}  // namespace

TEST_CASE("a command line") {
  SUBCASE("is converted to its command") {
    CHECK(ToCommand(WithArguments({{"gateway", true}, {"--settings", "s"}})) ==
          Command(GatewayCommand{"s"}));
    CHECK(ToCommand(WithArguments({{"serve", true}, {"--settings", "s"}})) ==
          Command(ServeCommand{"s"}));
    CHECK(ToCommand(WithArguments({{"print-defaults", true}})) ==
          Command(PrintDefaultsCommand{}));
    CHECK(ToCommand(WithArguments(
              {{"check", true}, {"FILE", "d"}, {"--json", true}})) ==
          Command(CheckCommand{"d", true}));
    CHECK(ToCommand(WithArguments({{"check", true}, {"--settings", "s"}})) ==
          Command(CheckSettingsCommand{"s", false}));
    CHECK(ToCommand(WithArguments(
              {{"diff", true}, {"FILE", "d"}, {"--store", kStore}})) ==
          Command(DiffCommand{"d", kStore, false}));
    CHECK(ToCommand(WithArguments({{"apply", true},
                                   {"FILE", "d"},
                                   {"--store", kStore},
                                   {"--expect-generation", "7"}})) ==
          Command(ApplyCommand{"d", kStore, 7, false}));
    CHECK(ToCommand(WithArguments({{"key", true},
                                   {"grant", true},
                                   {"ACCOUNT", "north"},
                                   {"--label", "l"},
                                   {"--store", kStore}})) ==
          Command(KeyGrantCommand{{"north"}, "l", kStore, false}));
    CHECK(ToCommand(WithArguments({{"key", true},
                                   {"withdraw", true},
                                   {"--label", "l"},
                                   {"--account", "north"},
                                   {"--store", kStore}})) ==
          Command(KeyWithdrawCommand{
              {.label = "l", .client_account = {{"north"}}, .sha256 = {}},
              kStore,
              false}));
    CHECK(
        ToCommand(WithArguments({{"status", true}, {"--operator", kStore}})) ==
        Command(StatusCommand{kStore, false}));
    CHECK(ToCommand(WithArguments({{"dump", true}, {"--operator", kStore}})) ==
          Command(DumpCommand{kStore, false}));
    CHECK(ToCommand(WithArguments({{"explain", true},
                                   {"FILE", "request.json"},
                                   {"--operator", kStore}})) ==
          Command(ExplainCommand{"request.json", kStore, false}));
  }

  SUBCASE("takes the settings path of a gateway from the environment") {
    setenv("CARAWAYVALVE_CONFIG", "from-there", 1);
    CHECK(ToCommand(WithArguments({{"gateway", true}})) ==
          Command(GatewayCommand{"from-there"}));
    unsetenv("CARAWAYVALVE_CONFIG");
    CHECK_THROWS_AS(ToCommand(WithArguments({{"gateway", true}})), UsageError);
  }
  SUBCASE("with a malformed value is a usage error") {
    CHECK_THROWS_AS(
        ToCommand(WithArguments({{"status", true}, {"--operator", "here"}})),
        UsageError);
    for (const char* generation : {"", "x", "-1", "1.5", "1 ", "1e3"}) {
      CAPTURE(generation);
      CHECK_THROWS_AS(
          ToCommand(WithArguments({{"apply", true},
                                   {"FILE", "d"},
                                   {"--store", kStore},
                                   {"--expect-generation", generation}})),
          UsageError);
    }
  }
}

TEST_CASE("checked settings") {
  const std::filesystem::path path =
      std::filesystem::temp_directory_path() / "carawayvalve-check-test.json";
  std::ostringstream output;
  std::ostringstream defaults;
  Run(PrintDefaultsCommand{}, defaults);

  SUBCASE("without faults are reported as such") {
    std::ofstream(path) << defaults.str();
    CHECK(Run(CheckSettingsCommand{path, true}, output) == kExitDone);
    CHECK(output.str() == "{\"faults\":[]}\n");
  }

  SUBCASE("report every fault with its path and the allowed values") {
    std::ofstream(path) << R"({"http_threads": 0, "colour": "red"})";
    try {
      Run(CheckSettingsCommand{path, false}, output);
      FAIL("no fault was found");
    } catch (const DocumentError& error) {
      std::ostringstream errors;
      CHECK(ReportFailure(error, false, errors) == kExitFaults);
      for (const char* part : {"/http_threads ", "/colour ", "/host ",
                               "/callers_address ", "  allowed: "}) {
        CAPTURE(part);
        CHECK(errors.str().find(part) != std::string::npos);
      }
    }
    CHECK(output.str().empty());
  }

  SUBCASE("that aren't JSON are one fault of the whole document") {
    std::ofstream(path) << "{";
    CHECK_THROWS_AS(Run(CheckSettingsCommand{path, false}, output),
                    DocumentError);
  }
  std::filesystem::remove(path);
}

}  // namespace carawayvalve::entry::commands
