#include "carawayvalve/base/field_reader.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"

namespace carawayvalve::base {

TEST_CASE("FieldReader records each fault's path, reason and allowed values") {
  std::vector<Fault> faults;

  SUBCASE("given a document with comments and three faults") {
    const nlohmann::json document = ParseJson(
        R"({"port": 70000, /* too high */ "level": "loud", "colour": 1})",
        "settings");
    FieldReader reader(document, "", faults);
    reader.Integer("port", 1, 65535);
    reader.Choice("level", {"info", "debug"});
    reader.String("host");
    reader.Finish();

    SUBCASE("each fault carries its path") {
      REQUIRE(faults.size() == 4);
      CHECK(faults[0] ==
            Fault{"/port", "is out of range: 70000", "1 to 65535"});
      CHECK(faults[1].path == "/level");
      CHECK(faults[1].allowed == "info, debug");
      CHECK(faults[2] == Fault{"/host", "is missing", "a value is required"});
      CHECK(faults[3].path == "/colour");
      CHECK(faults[3].reason == "is an unknown field");
    }

    SUBCASE("the error lists them all with the step and the source") {
      try {
        ThrowIfAny(faults, "settings");
        FAIL("no error was thrown");
      } catch (const Error& error) {
        CHECK(error.step() == "check");
        CHECK(error.peer() == "settings");
        CHECK(error.reason().find("/colour") != std::string::npos);
      }
    }
  }

  SUBCASE("given another type where one of several strings is expected") {
    const nlohmann::json document = ParseJson(
        R"({"number": 7, "object": {"key": "a secret"}, "array": [["a"]]})",
        "settings");
    FieldReader reader(document, "", faults);

    SUBCASE("the fault shows a scalar") {
      reader.Choice("number", {"info", "debug"});
      REQUIRE(faults.size() == 1);
      CHECK(faults[0] == Fault{"/number", "is not one of the allowed values: 7",
                               "info, debug"});
    }
    SUBCASE("the fault names only the type of an object or array") {
      reader.Choice("object", {"info", "debug"});
      reader.Choice("array", {"info", "debug"});
      REQUIRE(faults.size() == 2);
      CHECK(faults[0].reason ==
            "is not one of the allowed values: it is an object");
      CHECK(faults[1].reason ==
            "is not one of the allowed values: it is an array");
    }
  }

  SUBCASE("given text that isn't JSON, the error names the source") {
    CHECK_THROWS_WITH_AS(ParseJson("{", "entry.json"),
                         doctest::Contains("parse JSON at entry.json"), Error);
  }
  SUBCASE(
      "given JSON that the library accepts or misreads, the error names the "
      "source") {
    const std::string deep =
        std::string(100000, '[') + std::string(100000, ']');
    for (const std::string& text : {std::string(R"({"a": 1e999})"),
                                    std::string(R"({"a": 1, "a": 2})"), deep}) {
      CHECK_THROWS_WITH_AS(ParseJson(text, "entry.json"),
                           doctest::Contains("parse JSON at entry.json"),
                           Error);
    }
  }
  SUBCASE("given more values than may be read, the error says so") {
    std::string list = "[0";
    for (size_t i = 0; i < kMaxForeignValues; ++i) {
      list += ",0";
    }
    CHECK_THROWS_WITH_AS(ParseJson(list + "]", "entry.json"),
                         doctest::Contains("values"), Error);
  }
}

}  // namespace carawayvalve::base
