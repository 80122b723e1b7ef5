#include "carawayvalve/agent/settings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/field_reader.h"

namespace carawayvalve::agent {

namespace {

using nlohmann::json;

json Example() {
  return base::ParseJson(PrintDefaultAgentSettings(), "example");
}

// Returns the error for the example with one member replaced, empty if there is
// none.
std::string ReasonWith(const std::string& member, const json& value) {
  json document = Example();
  document[member] = value;
  try {
    ParseAgentSettings(document.dump(), "test");
  } catch (const base::Error& error) {
    return error.reason();
  }
  return "";
}

}  // namespace

TEST_CASE("settings of an agent") {
  const AgentSettings example =
      ParseAgentSettings(PrintDefaultAgentSettings(), "example");

  SUBCASE("the printed example shows the default of every optional field") {
    json required = Example();
    for (const char* member :
         {"slots", "max_queued_per_account", "load_interval_ms",
          "attempt_memory_ms", "drain_timeout_ms", "log_level"}) {
      REQUIRE(required.erase(member) == 1);
    }
    CHECK(ParseAgentSettings(required.dump(), "test") == example);
  }
  SUBCASE("both kinds of backend server are read") {
    CHECK(example.backend_kind == BackendKind::kModel);
    json document = Example();
    document["backend_kind"] = "plain";
    CHECK(ParseAgentSettings(document.dump(), "test").backend_kind ==
          BackendKind::kPlain);
  }
  SUBCASE("all faults are reported at once, with path and allowed values") {
    try {
      ParseAgentSettings(R"({"slots": 0, "log_level": "loud"})", "agent.json");
      FAIL("no error was thrown");
    } catch (const base::Error& error) {
      CHECK(error.peer() == "agent.json");
      for (const char* expected :
           {"/host is missing", "/slots is out of range: 0; allowed: 1 to 512",
            "/log_level", "debug, info, warning, error"}) {
        CAPTURE(expected);
        CHECK(error.reason().find(expected) != std::string::npos);
      }
    }
  }
  SUBCASE("an unknown member is rejected") {
    CHECK(ReasonWith("slot", 4).find("/slot is an unknown field") !=
          std::string::npos);
  }
  SUBCASE("a wrong value of any member is rejected with its path") {
    CHECK(rc::check("the reason names the member", [] {
      const json document = Example();
      for (const auto& [member, value] : document.items()) {
        const json wrong = *rc::gen::element<json>(
            json(nullptr), json(-1), json(1e300), json(true), json::array());
        RC_ASSERT(ReasonWith(member, wrong).find("/" + member + " ") !=
                  std::string::npos);
      }
    }));
  }
}

}  // namespace carawayvalve::agent
