#include "carawayvalve/base/deflate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace carawayvalve::base {

namespace {

constexpr size_t kMaxBytes = size_t{8} * 1024 * 1024;

std::string RoutesText() {
  std::string text;
  for (int i = 0; i < 3000; ++i) {
    text += R"({"name":"route-)" + std::to_string(i) +
            R"(","service":"desk","objective":5000},)";
  }
  return text;
}

}  // namespace

TEST_CASE("any text is read back from its compressed form") {
  CHECK(rc::check([](const std::string& text) {
    RC_ASSERT(Inflate(Deflate(text), kMaxBytes) == text);
  }));
}

TEST_CASE("similar entries take a fraction of their size") {
  const std::string text = RoutesText();
  const std::string data = Deflate(text);
  CHECK(data.size() < text.size() / 5);
  CHECK(Inflate(data, text.size()) == text);

  SUBCASE("and aren't read beyond a limit") {
    CHECK_FALSE(Inflate(data, text.size() - 1).has_value());
  }
  SUBCASE("nor if they are cut") {
    CHECK_FALSE(Inflate(data.substr(0, data.size() / 2), kMaxBytes));
  }
  SUBCASE("nor if they aren't compressed at all") {
    CHECK_FALSE(Inflate(text, kMaxBytes).has_value());
    CHECK_FALSE(Inflate("", kMaxBytes).has_value());
  }
}

}  // namespace carawayvalve::base
