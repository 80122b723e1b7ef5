#include <doctest/doctest.h>

#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using tests::Backend;

namespace {

const base::ClientAccountId kAccount{"shop"};

// The requests of the fixture count less than this.
constexpr int64_t kManyTokens = 1'000'000;

config::ServingPlan LimitedPlan(int64_t burst) {
  config::ServingPlan plan = NotesPlan(1);
  plan.routes[0].open = false;
  config::ServingAccount account;
  account.name = kAccount;
  account.keys = {"key"};
  account.rate_limit = {config::RateUnit::kTokens, static_cast<double>(burst),
                        burst, 1};
  plan.accounts = {account};
  plan.version = 2;
  return plan;
}

struct LimitFixture : RequestFixture {
  explicit LimitFixture(int64_t burst) : RequestFixture(1) {
    core::AccountRateShares& rates = this->gateway.state.account_rates;
    this->gateway.state.ApplyPlan(LimitedPlan(burst));
    rates.SetHosts({"self"}, {{"self"}});
    rates.SetDivisor(1, base::Now());
    this->gateway.state.key_freshness.NoteStoreAnswer(base::Now());
  }

  // Gives the account this credit.
  void Grant(double amount) {
    const base::Instant now = base::Now();
    this->gateway.state.account_rates.SetDivisor(std::nullopt, now);
    CHECK(this->gateway.state.account_rates.Apply(
        "peer", {kAccount, 1, 0, {{now, amount}}, 0}, now));
  }
  core::AccountRateStatus Status() {
    return this->gateway.state.account_rates.Statuses(base::Now()).at(kAccount);
  }
  void SendWithKey() {
    net::Request request =
        tests::PromptRequest("shop.example", "/notes/1", "r1");
    request.fields.push_back({tests::kKeyField, "key"});
    this->SendRequest([](const std::string&) {}, request);
  }
};

}  // namespace

TEST_CASE("a request of an account with a rate limit") {
  SUBCASE("is refused at once while there is no credit") {
    LimitFixture fixture(kManyTokens);
    fixture.gateway.state.account_rates.SetDivisor(std::nullopt, base::Now());
    fixture.SendWithKey();
    CHECK(fixture.status == 429);
    CHECK(fixture.runs.empty());
    CHECK(fixture.Status().refused == 1);
  }
  SUBCASE("is refused if it counts more than can be saved up") {
    LimitFixture fixture(1);
    fixture.SendWithKey();
    CHECK(fixture.status == 429);
    CHECK(fixture.body.find("ever allows") != std::string::npos);
  }
  SUBCASE("runs with credit, which stays spent") {
    LimitFixture fixture(kManyTokens);
    Backend engine(fixture.gateway.loop, {.id = "generator"}, fixture.runs);
    fixture.Add("generator", engine.port(), EngineRole::kDecode);
    fixture.Grant(kManyTokens / 2.0);
    fixture.SendWithKey();
    CHECK(fixture.status == 200);
    CHECK(fixture.Status().spent > 0);
  }
  SUBCASE("gets its credit back if nothing could run it") {
    LimitFixture fixture(kManyTokens);
    fixture.gateway.state.directory.NoteRemoved({"reader"}, base::Now());
    fixture.Grant(kManyTokens / 2.0);
    // Some credit has come in by the time before the grant, none since.
    const double granted = fixture.Status().balance;
    CHECK(granted >= kManyTokens / 2.0);
    fixture.SendWithKey();
    CHECK(fixture.status == 503);
    CHECK(fixture.Status().spent == 0);
    CHECK(fixture.Status().balance == granted);
  }
}

}  // namespace carawayvalve::gateway
