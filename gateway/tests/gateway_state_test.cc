#include "gateway_state.h"

#include <doctest/doctest.h>

namespace carawayvalve::gateway {

using std::chrono::seconds;

TEST_CASE("reloaded bounds take effect while a gateway runs") {
  GatewaySettings settings;
  settings.bounds.key_withdrawal = seconds(5);
  settings.bounds.retry_ratio = 0;
  settings.bounds.retry_slack = 10;
  GatewayState state(settings);
  const base::Instant now = base::Now();
  state.key_freshness.NoteStoreAnswer(now - seconds(4));
  REQUIRE(state.RetryBudget({"desk"}).Remaining(1, now).slack == 8);
  REQUIRE(state.RetryBudget({"desk"}).TrySpend(1, now));

  GatewaySettings::Bounds changed = settings.bounds;
  changed.key_withdrawal = seconds(3);
  changed.retry_slack = 5;
  state.ApplyBounds(changed);

  SUBCASE("keys are refused after the new withdrawal time") {
    CHECK_FALSE(state.key_freshness.MayAcceptKeys(now));
  }
  SUBCASE("retries are limited by the new slack, less what was already spent") {
    CHECK(state.RetryBudget({"desk"}).Remaining(1, now).slack == 3);
  }
}

}  // namespace carawayvalve::gateway
