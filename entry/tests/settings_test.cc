#include "carawayvalve/entry/settings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/field_reader.h"

namespace carawayvalve::entry {

using nlohmann::json;

namespace {

json Example() {
  return base::ParseJson(PrintDefaultEntrySettings(), "example");
}

std::string ReasonFor(const json& document) {
  try {
    ParseEntrySettings(document.dump(), "test");
  } catch (const base::Error& error) {
    return error.reason();
  }
  return "";
}

// Returns the error for the example with one member replaced.
std::string ReasonWith(const std::string& member, const json& value) {
  json document = Example();
  document[member] = value;
  return ReasonFor(document);
}

bool Contains(const std::string& reason, const std::string& words) {
  return reason.find(words) != std::string::npos;
}

}  // namespace

TEST_CASE("settings of an entry process") {
  const EntrySettings example =
      ParseEntrySettings(PrintDefaultEntrySettings(), "example");

  SUBCASE("the printed example has every default") {
    json required = Example();
    for (const char* member :
         {"log_level", "http_threads", "store_timeout_ms", "drain_timeout_ms",
          "max_header_bytes", "max_connections", "max_connection_idle_ms",
          "usage_collect_interval_ms"}) {
      REQUIRE(required.erase(member) == 1);
    }
    CHECK(ParseEntrySettings(required.dump(), "test") == example);
  }

  SUBCASE("the printed example equals examples/entry.json") {
    const std::filesystem::path examples = CARAWAYVALVE_EXAMPLES;
    std::ostringstream text;
    text << std::ifstream(examples / "entry.json").rdbuf();
    CHECK(text.str() == PrintDefaultEntrySettings());
  }

  SUBCASE("a listener's address must be an IP number and a unique port") {
    CHECK(
        Contains(ReasonWith("peer_address", "entry-1:7102"), "/peer_address"));
    CHECK(Contains(ReasonWith("peer_address", "127.0.0.1"), "NUMBER:PORT"));
    CHECK(Contains(ReasonWith("peer_address", "127.0.0.1:7101"),
                   "/peer_address is the address of another listener"));
  }

  SUBCASE("an interface of the platform may be given by host name") {
    CHECK(ReasonWith("usage_address", "usage.example:80").empty());
    CHECK(Contains(ReasonWith("usage_address", "usage.example"),
                   "/usage_address"));
  }

  SUBCASE("an unknown member is refused") {
    CHECK(Contains(ReasonWith("http_treads", 4), "/http_treads"));
  }

  SUBCASE("a wrong value of any member is refused with its path") {
    CHECK(rc::check("the reason names the member", [] {
      const json document = Example();
      for (const auto& [member, value] : document.items()) {
        const json wrong_value = *rc::gen::element<json>(
            json(nullptr), json(-1), json(1e300), json(""), json::array());
        RC_ASSERT(
            Contains(ReasonWith(member, wrong_value), "/" + member + " "));
      }
    }));
  }

  SUBCASE("a text that isn't JSON throws only base::Error") {
    CHECK(rc::check("a changed text is read or refused", [] {
      std::string text = PrintDefaultEntrySettings();
      const auto positions = *rc::gen::container<std::vector<size_t>>(
          3, rc::gen::inRange<size_t>(0, text.size()));
      for (const size_t position : positions) {
        text[position] = *rc::gen::arbitrary<char>();
      }
      try {
        ParseEntrySettings(text, "test");
      } catch (const base::Error& error) {
        RC_ASSERT(error.peer() == "test");
      }
    }));
  }
}

}  // namespace carawayvalve::entry
