// Guards against JSON that needs more memory than its count of values says.
#include <doctest/doctest.h>

#include <string>

#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/base/process_memory.h"

namespace carawayvalve::base {

TEST_CASE("a value of JSON needs a hundred bytes at most") {
  constexpr size_t kBytesPerValue = 100;
  constexpr int kDepth = kMaxForeignNesting - 2;
  std::string nested;
  for (int i = 0; i < kDepth; ++i) {
    nested += R"({"0123456789abcdef":)";
  }
  nested += "{}" + std::string(kDepth, '}');
  // An array or object counts as two values, a comma as one.
  constexpr size_t kNestedValues = 2 * (kDepth + 1) + 1;
  const std::string next = "," + nested;
  std::string text = "[" + nested;
  for (size_t i = 1; i < (kMaxForeignValues - 2) / kNestedValues; ++i) {
    text += next;
  }
  const std::string longer = text + next + "]";
  text += "]";
  CAPTURE(text.size());
  const int64_t before = ResidentBytes();
  const ForeignJson parsed = ParseForeignJson(text);
  const int64_t growth = ResidentBytes() - before;
  CHECK(parsed.fault.empty());
  CHECK(!ParseForeignJson(longer).fault.empty());
  CAPTURE(growth);
  CHECK(static_cast<size_t>(growth) / kMaxForeignValues <= kBytesPerValue);
}

}  // namespace carawayvalve::base
