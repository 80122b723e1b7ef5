#include "carawayvalve/base/foreign_json.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace carawayvalve::base {

using nlohmann::json;

namespace {

std::string Repeat(const std::string& text, int count) {
  std::string repeated;
  for (int i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

std::string Arrays(int depth) {
  return Repeat("[", depth) + Repeat("]", depth);
}

}  // namespace

TEST_CASE("JSON of another process") {
  SUBCASE("is read as the JSON library reads it") {
    const std::string text =
        R"( {"a":[1,-2.5,"\u00e9[{\"",null,true],"b":{}} )";
    const ForeignJson read = ParseForeignJson(text);
    CHECK(read.fault.empty());
    CHECK(read.value == json::parse(text));
  }
  SUBCASE("is read down to a fixed depth only") {
    CHECK(ParseForeignJson(Arrays(kMaxForeignNesting)).fault.empty());
    CHECK(ParseForeignJson(Arrays(kMaxForeignNesting + 1)).fault ==
          "is nested deeper than 128 arrays and objects");

    SUBCASE("where brackets in strings don't count") {
      CHECK(
          ParseForeignJson("\"" + Repeat("[\\\"", 1000) + "\"").fault.empty());
    }
    SUBCASE("so that no text can overflow the stack") {
      for (const std::string& text :
           {Arrays(300'000), Repeat("[", 1'000'000),
            Repeat("{\"a\":", 90'000) + "1" + Repeat("}", 90'000)}) {
        const ForeignJson read = ParseForeignJson(text);
        CHECK(!read.fault.empty());
        CHECK(read.value.is_null());
      }
    }
  }
  SUBCASE("is unreadable as a whole for one odd value") {
    for (const char* text :
         {"", "[1e999]", "[\"\xff\"]", "[\"\\ud800\"]", "[1,]", "{\"a\"}", "[",
          "[1]]", "nul", "\"a", "[\"\\", "{1:2}"}) {
      CAPTURE(std::string(text));
      const ForeignJson read = ParseForeignJson(text);
      CHECK(!read.fault.empty());
      CHECK(read.fault.size() <= 200);
      CHECK(read.value.is_null());
    }
  }
}

TEST_CASE("JSON of another process needs no more memory than is allowed") {
  const std::string most =
      "[" + Repeat("0,", static_cast<int>(kMaxForeignValues) - 3) + "0]";
  CHECK(ParseForeignJson(most).fault.empty());
  CHECK(!ParseForeignJson("[" + most + "]").fault.empty());
  CHECK(ParseForeignJson("\"" + most + "\"").fault.empty());

  SUBCASE("all texts together, of which the largest isn't read") {
    const std::string half =
        "[" + Repeat("0,", static_cast<int>(kMaxForeignValues) / 2) + "0]";
    const auto parsed =
        ParseForeignTexts({"[1]", half, "2", most, "{\"a\":3}"});
    REQUIRE(parsed.size() == 5);
    CHECK(parsed[0].value == json({1}));
    CHECK(parsed[1].fault.empty());
    CHECK(parsed[2].value == json(2));
    CHECK(!parsed[3].fault.empty());
    CHECK(parsed[3].value.is_null());
    CHECK(parsed[4].value == json({{"a", 3}}));
    CHECK(FitTogether({"[1]", half}));
    CHECK(!FitTogether({half, half}));
    // One that isn't read in any case displaces none.
    CHECK(FitTogether({half, "[" + most + "]"}));
  }
  SUBCASE("nor has more parts") {
    const std::string elements =
        Repeat("0,", static_cast<int>(kMaxForeignParts) - 1) + "0";
    CHECK(SplitJsonArray("[" + elements + "]")->size() == kMaxForeignParts);
    CHECK(!SplitJsonArray("[" + elements + ",0]").has_value());
    std::string members = "\"a\":0";
    for (size_t i = 0; i < kMaxForeignParts; ++i) {
      members += ",\"" + std::to_string(i) + "\":0";
    }
    CHECK(!SplitJsonObject("{" + members + "}").has_value());
  }
}

TEST_CASE(
    "JSON of another process is split so that one value spoils no other") {
  SUBCASE("members") {
    const auto members = SplitJsonObject(
        "{\"a\" : 1e999 ,\"b\":[\"}\",{}], \"\xff\":2, \"c\":\"\xff\\\"\"}");
    REQUIRE(members.has_value());
    CHECK(members->size() == 3);
    CHECK(ParseForeignJson(members->at("a")).value.is_null());
    CHECK(members->at("b") == "[\"}\",{}]");
    CHECK(members->at("c") == "\"\xff\\\"\"");
    CHECK(SplitJsonObject(" {} ")->empty());
  }
  SUBCASE("elements") {
    const auto elements = SplitJsonArray("[{\"a\":[1]},x]");
    REQUIRE(elements.has_value());
    REQUIRE(elements->size() == 2);
    CHECK(elements->at(0) == "{\"a\":[1]}");
    CHECK(SplitJsonArray("[ ]")->empty());
  }
  SUBCASE("unless its end can't be found") {
    for (const char* text :
         {"", "1", "{", "[", "[1", "{\"a\"}", "{\"a\":}", "[,]", "[1,]", "{} 1",
          "{\"a\":1,}", "[1 \"2", "[[]"}) {
      CAPTURE(std::string(text));
      CHECK(!SplitJsonObject(text).has_value());
      CHECK(!SplitJsonArray(text).has_value());
    }
  }
}

TEST_CASE("JSON for another process is printed whatever its texts hold") {
  CHECK(PrintJson({{"a\xff", "\xc3"}}) ==
        "{\"a\xef\xbf\xbd\":\"\xef\xbf\xbd\"}");
  CHECK(PrintJson({1}, 2) == "[\n  1\n]");
  CHECK(SurvivesJson("\xc3\xa9\"\\\n"));
  CHECK_FALSE(SurvivesJson("a\xff"));
  CHECK(rc::check("any text", [](const std::string& text) {
    const json printed = ParseForeignJson(PrintJson(text)).value;
    RC_ASSERT(printed.is_string());
    RC_ASSERT(SurvivesJson(text) == (printed.get<std::string>() == text));
  }));
}

TEST_CASE("a JSON string of another process is read whatever its bytes") {
  CHECK(ReadForeignString(R"("")") == "");
  CHECK(ReadForeignString(R"("a\"\\\n\u00e9\ud83d\ude00")") ==
        "a\"\\\n\xc3\xa9\xf0\x9f\x98\x80");
  CHECK(ReadForeignString("\"a\xff\xc3\xa9\x01\n\x7f\"") ==
        "a\xff\xc3\xa9\x01\n\x7f");
  for (const char* text : {"", "\"", "1", "null", "[]", "a\"", R"("\ud800")",
                           R"("\x")", R"("a"b")", "\"\\\xff\""}) {
    CAPTURE(text);
    CHECK_FALSE(ReadForeignString(text).has_value());
  }
  CHECK(rc::check("it agrees with the parser", [](const std::string& text) {
    const std::string printed = PrintJson(text);
    RC_ASSERT(ReadForeignString(printed) ==
              ParseForeignJson(printed).value.get<std::string>());
  }));
}

TEST_CASE("splitting JSON loses nothing") {
  CHECK(rc::check("well-formed elements are all there, in order", [] {
    const auto texts =
        *rc::gen::container<std::vector<std::string>>(rc::gen::map(
            rc::gen::arbitrary<std::string>(), [](const std::string& text) {
              return json(text).dump(-1, ' ', true,
                                     json::error_handler_t::replace);
            }));
    std::string joined;
    for (const std::string& text : texts) {
      joined += (joined.empty() ? "" : ",") + text;
    }
    joined = "[" + joined + "]";
    const auto elements = SplitJsonArray(joined);
    RC_ASSERT(elements.has_value());
    RC_ASSERT(std::vector<std::string>(elements->begin(), elements->end()) ==
              texts);
  }));
  CHECK(rc::check("any bytes are read or refused", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::element(
        '[', ']', '{', '}', '"', '\\', ',', ':', '1', 'e', ' ', '\xff', '\0'));
    ParseForeignJson(text);
    SplitJsonObject(text);
    SplitJsonArray(text);
  }));
}

}  // namespace carawayvalve::base
