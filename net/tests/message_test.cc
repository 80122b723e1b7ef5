#include "carawayvalve/net/message.h"

#include <doctest/doctest.h>

namespace carawayvalve::net {

TEST_CASE("header fields") {
  const HeaderFields fields = {
      {"Host", "a"},           {"X-One", "1"},   {"connection", "x-two, close"},
      {"X-Two", "2"},          {"TE", "x"},      {"x-one", "3"},
      {"Content-Length", "5"}, {"Expect", "100"}};

  SUBCASE("are found by name, ignoring case") {
    CHECK(*FindField(fields, "x-ONE") == "1");
    CHECK(FindField(fields, "X-Three") == nullptr);
    CHECK(CountFields(fields, "X-One") == 2);
  }
  SUBCASE("lose the hop-by-hop ones when forwarded") {
    CHECK(EndToEndFields(fields) ==
          HeaderFields{{"Host", "a"}, {"X-One", "1"}, {"x-one", "3"}});
  }
}

TEST_CASE("a part of a target is encoded") {
  CHECK(EncodeTargetPart("i-7f.3_a~9") == "i-7f.3_a~9");
  CHECK(EncodeTargetPart("a b&c+d#e%f/g?h=i") ==
        "a%20b%26c%2Bd%23e%25f%2Fg%3Fh%3Di");
  CHECK(EncodeTargetPart("\r\n\x7f\xc3\xa9\xff") == "%0D%0A%7F%C3%A9%FF");
  CHECK(EncodeTargetPart(std::string(1, '\0')) == "%00");
  CHECK(EncodeTargetPart("").empty());
}

TEST_CASE("printing a message") {
  SUBCASE("a request gets Host and Content-Length") {
    CHECK(PrintRequest({"POST", "/x?y", {{"A", "b"}}, "body"}, "1.2.3.4:5") ==
          "POST /x?y HTTP/1.1\r\nHost: 1.2.3.4:5\r\nA: b\r\n"
          "Content-Length: 4\r\n\r\nbody");
  }
  SUBCASE("a request keeps its own Host") {
    CHECK(PrintRequest({"GET", "/", {{"Host", "h"}}, ""}, "1.2.3.4:5") ==
          "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  SUBCASE("a response has a status line, its fields and the framing") {
    CHECK(PrintResponseHead({503, {{"Retry-After", "1"}}},
                            {{"Content-Length", "0"}}) ==
          "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
          "Content-Length: 0\r\n\r\n");
  }
}

}  // namespace carawayvalve::net
