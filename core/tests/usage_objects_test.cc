#include "carawayvalve/core/usage_objects.h"

#include <doctest/doctest.h>

#include "carawayvalve/base/error.h"

namespace carawayvalve::core {

TEST_CASE("Usage objects") {
  const UsageWriter writer{{"boot"}, 7};
  const UsageProgress progress{writer, 9, 7, 6, {5, 8}, 7, 3, 1, 2, 1};
  const UsagePart part{
      writer, {{{"a1"}, {{{"north"}, {1, 2, 3}}}}}, {{{"north"}, {1, 1, 1}}}};
  const UsageSeal seal{writer,
                       {"region"},
                       7,
                       "usage-region-7",
                       {{5, {{{"north"}, {{1, 0, 2}, {4, 5, 6}}}}}, {7, {}}}};

  SUBCASE("survive encoding and decoding unchanged") {
    CHECK(DecodeUsageObject(UsageObjectKind::kProgress,
                            EncodeUsageObject(progress)) ==
          UsageObject(progress));
    CHECK(DecodeUsageObject(UsageObjectKind::kPart, EncodeUsageObject(part)) ==
          UsageObject(part));
    CHECK(DecodeUsageObject(UsageObjectKind::kSeal, EncodeUsageObject(seal)) ==
          UsageObject(seal));
  }
  SUBCASE("decoding rejects text that isn't such an object") {
    for (const char* text : {"", "[]", "{}", "{\"writer\":1}"}) {
      CHECK_THROWS_AS(DecodeUsageObject(UsageObjectKind::kSeal, text),
                      base::Error);
    }
  }
  SUBCASE("have stored names made of region and window") {
    CHECK(UsageObjectName({"r-1"}, {UsageObjectKind::kSeal, 2}) == "r-1-2");
    CHECK(UsageObjectName({"r-1"}, {UsageObjectKind::kProgress, 0}) == "r-1");
  }
  SUBCASE("a report names the corrected window and the seal's writer") {
    const UsageReport report = ReportFromSeal(seal);
    CHECK(report.writer == writer);
    const std::vector<UsageReportLine> lines = {{{"north"}, {1, 0, 2}, 5}};
    CHECK(report.lines == lines);
  }
}

}  // namespace carawayvalve::core
