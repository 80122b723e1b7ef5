#include "carawayvalve/core/entry_name.h"

#include <doctest/doctest.h>

namespace carawayvalve::core {

TEST_CASE("names of backend servers and gateways") {
  for (const char* name :
       {"i-7f3a91c2", "edge-scot-central-a-1", "w03", "a.b_c~D", "..a", "-"}) {
    CAPTURE(name);
    CHECK(IsEntryName(name));
  }
}

TEST_CASE("names that only entries of other writers have") {
  for (const char* name :
       {"", ".", "..", "w03&", "+w", "w#", "100%", "a b", " ", "a\tb", "a\nb",
        "a/b", "a?b", "a\"b", "a:b", "\x01", "\x7f", "\xc3\xa9", "\xff"}) {
    CAPTURE(name);
    CHECK_FALSE(IsEntryName(name));
  }
  CHECK_FALSE(IsEntryName(std::string_view("a\0b", 3)));
}

TEST_CASE("any name is printed on one line") {
  CHECK(PrintableName("w03&1 #") == "w03&1 #");
  CHECK(PrintableName("a\r\n\t\\\x7f\xc3\xa9\xff") ==
        R"(a\x0d\x0a\x09\x5c\x7f\xc3\xa9\xff)");
  CHECK(PrintableName(std::string_view("a\0b", 3)) == R"(a\x00b)");
  CHECK(PrintableName(std::string(100, 'x')) == std::string(100, 'x'));
  CHECK(PrintableName(std::string(101, 'x')) ==
        std::string(100, 'x') + "... (101 bytes)");
}

}  // namespace carawayvalve::core
