#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

#include "carawayvalve/base/error.h"
#include "carawayvalve/base/foreign_json.h"
#include "carawayvalve/core/claim_object.h"
#include "carawayvalve/core/fleet_order_issuer.h"
#include "carawayvalve/core/lease.h"
#include "carawayvalve/core/order_gate.h"
#include "carawayvalve/core/usage_objects.h"

namespace carawayvalve::core {

namespace {

// Returns the object with another member, of as many values.
std::string Widen(std::string object, size_t values) {
  object.back() = ',';
  object += "\"other\":[0";
  for (size_t i = 1; i < values; ++i) {
    object += ",0";
  }
  return object + "]}";
}

struct Kind {
  std::string text;
  std::function<void(const std::string& text)> read;
};

std::vector<Kind> Kinds() {
  return {
      {PrintLeaseRecord({}),
       [](const std::string& text) { ParseLeaseRecord(text); }},
      {PrintFleetIntent({}),
       [](const std::string& text) { ParseFleetIntent(text); }},
      {PrintOrderHighWaterMark({}),
       [](const std::string& text) { ParseOrderHighWaterMark(text); }},
      {EncodeClaim({}), [](const std::string& text) { DecodeClaim(text); }},
      {EncodeUsageObject(UsageSeal{}),
       [](const std::string& text) {
         DecodeUsageObject(UsageObjectKind::kSeal, text);
       }},
  };
}

}  // namespace

// Such a text needs many times its size once it is parsed.
TEST_CASE("a text of the store that has too many values isn't read") {
  for (const Kind& kind : Kinds()) {
    CAPTURE(kind.text);
    CHECK_NOTHROW(kind.read(Widen(kind.text, base::kMaxForeignValues / 2)));
    CHECK_THROWS_WITH_AS(
        kind.read(Widen(kind.text, base::kMaxForeignValues + 1)),
        doctest::Contains("values"), base::Error);
  }
}

}  // namespace carawayvalve::core
