#include "carawayvalve/gateway/settings.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "carawayvalve/base/error.h"

namespace carawayvalve::gateway {

namespace {

constexpr char kSettings[] = R"({
  // A comment.
  "host": "edge-1", "data_centre": "a",
  "listen": {"callers": "10.0.0.1:80", "readiness": "10.0.0.1:81",
             "metrics": "10.0.0.1:82", "peers": "10.0.0.1:83"},
  "store": {"address": "10.0.0.2:80", "report_interval_ms": 700},
  "duties": {"address": "10.0.0.3:80", "usage_window_s": 2.5, "lease_ms": 3000},
  "bounds": {"key_withdrawal_ms": 5000, "retry_ratio": 0.25, "retry_slack": 54,
             "account_tolerance": 0.1, "account_slack": 190000,
             "account_window_s": 8, "stop_s": 8},
  "memory_mb": 160,
  "rule_parts": ["base", "pressure"],
  "log": {"level": "warning", "max_buffered_kb": 64}
})";

std::string ReasonOf(const std::string& text) {
  try {
    ReadGatewaySettings(text, "test");
  } catch (const base::Error& error) {
    return error.reason();
  }
  return "";
}

}  // namespace

TEST_CASE("gateway settings") {
  auto document = nlohmann::json::parse(kSettings, nullptr, true, true);

  SUBCASE("are read, with defaults for omitted keys") {
    const GatewaySettings settings = ReadGatewaySettings(kSettings, "test");
    CHECK(settings.host.value == "edge-1");
    CHECK(settings.listen.peers == base::Address{"10.0.0.1", 83});
    CHECK(settings.duties.usage_window == base::Milliseconds(2500));
    CHECK(settings.duties.usage_late == base::Milliseconds(10000));
    CHECK(settings.bounds.retry_ratio == 0.25);
    CHECK(settings.bounds.account_tolerance == 0.1);
    CHECK(settings.bounds.account_slack == 190000);
    CHECK(settings.bounds.account_window == base::Milliseconds(8000));
    CHECK(settings.log.level == base::LogLevel::kWarning);
    CHECK(settings.store.watch_wait == base::Milliseconds(2000));
    CHECK(settings.store.report_interval == base::Milliseconds(700));
    CHECK(settings.features.contention);
    CHECK_FALSE(settings.even_load);
    CHECK(settings.memory_bytes == 160 * 1024 * 1024);
  }
  SUBCASE("are rejected with the path of each fault") {
    document["listen"]["callers"] = "somewhere";
    document["bounds"]["retry_ratio"] = 2;
    document["surprise"] = 1;
    document.erase("host");
    const std::string reason = ReasonOf(document.dump());
    CHECK(reason.find("/listen/callers") != std::string::npos);
    CHECK(reason.find("/bounds/retry_ratio") != std::string::npos);
    CHECK(reason.find("/surprise") != std::string::npos);
    CHECK(reason.find("/host") != std::string::npos);
  }
  SUBCASE("are rejected with a host whose peers wouldn't know it") {
    for (const char* host : {"edge 1", "edge#1", "edge/1", "..", "edge\n1"}) {
      CAPTURE(std::string(host));
      document["host"] = host;
      CHECK(ReasonOf(document.dump()).find("/host") != std::string::npos);
    }
  }
}

}  // namespace carawayvalve::gateway
