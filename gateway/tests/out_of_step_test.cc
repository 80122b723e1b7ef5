// Guards against streams that are taken up at a gateway that stood still or was
// cut off while a new software version joined, and go on at another version.

#include <doctest/doctest.h>

#include "platform/store.h"
#include "request_fixture.h"
#include "store_feed.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using tests::Backend;

namespace {

constexpr int kMaxAttempts = 3;
// Callers take streams up within four of these timeouts.
constexpr Milliseconds kTimeout(250);
constexpr Milliseconds kTakeUpTime = 4 * kTimeout;
// The call that confirms the list is answered within this time.
constexpr Milliseconds kCallTime(150);

// A gateway that follows a store where only engines of the first version have
// been registered for as long as callers take streams up.
struct FollowingGateway : RequestFixture {
  FollowingGateway() : RequestFixture(kMaxAttempts, kSlackOfManyRetries) {
    config::ServingPlan plan = NotesPlan(kMaxAttempts);
    plan.version = 2;
    plan.routes.front().timeout = kTimeout;
    this->gateway.state.ApplyPlan(plan);
    this->Register("reader", this->prefill_engine, "v1", "prefill");
    this->Register("old", this->old_engine, "v1", "decode");
    this->gateway.origin_lookup.SetRegistryKnownTo(
        [this] { return this->feed.registry().confirmed(); });
    this->gateway.origin_lookup.SetConfirmRegistry([this] {
      this->feed.ConfirmRegistry(
          [this] { this->gateway.origin_lookup.NoteLearned(); });
    });
    this->feed.Start();
    this->gateway.RunFor(kTakeUpTime + kCallTime);
    this->gateway.state.directory.Expire(base::Now());
    this->gateway.RunFor(kTakeUpTime);
    this->gateway.state.directory.Expire(base::Now());
  }

  void Register(const std::string& id,
                const Backend& engine,
                const std::string& version,
                const std::string& phase) {
    this->store.Put("servers", id,
                    {{"service", "models"},
                     {"addr", "127.0.0.1:" + std::to_string(engine.port())},
                     {"zone", "a"},
                     {"version", version},
                     {"slots", 16},
                     {"state", "up"},
                     {"phase", phase},
                     {"born", 1}});
  }

  // Sends a request that takes up the stream of `first`, or one that its caller
  // doesn't name. Returns its status.
  int TakeUp(const std::string& first) {
    net::Request request =
        tests::PromptRequest("shop.example", "/notes/1", "r9");
    request.fields.push_back({"Last-Event-Id", "1"});
    if (!first.empty()) {
      request.fields.push_back({tests::kResumedStreamField, first});
    }
    for (net::HeaderField& field : request.fields) {
      field.value =
          field.name == tests::kTokenCountsField ? "100,10" : field.value;
    }
    this->SendRequest([](const std::string&) {}, request);
    return this->status;
  }

  Backend old_engine{gateway.loop, {.id = "old", .version = "v1"}, runs};
  Backend new_engine{gateway.loop, {.id = "new", .version = "v2"}, runs};
  tests::Store store{gateway.loop};
  platform::ObjectClient objects{
      gateway.loop, base::ParseAddress(store.address()), Milliseconds(1000)};
  StoreFeed feed{gateway.context, objects};
};

// A stream that began elsewhere is taken up; `first` is empty if the caller
// doesn't name the request that began it.
void TakeUpAtGateway(const std::string& first) {
  FollowingGateway fixture;
  REQUIRE(fixture.gateway.state.directory.Find({"old"}) != nullptr);

  SUBCASE("of the only version, while the gateway is in step") {
    const int calls = fixture.store.watches["servers"];
    CHECK(fixture.TakeUp(first) == 200);
    CHECK(fixture.runs.size() == 1);
    CHECK(fixture.store.watches["servers"] <= calls + 1);
  }
  SUBCASE("of a version that joined while the gateway was cut off") {
    fixture.store.silent = true;
    fixture.Register("new", fixture.new_engine, "v2", "decode");
    CHECK(fixture.TakeUp(first) == 503);
    CHECK(fixture.runs.empty());
  }
  SUBCASE(
      "of a version that joined while nothing reached the gateway's watch") {
    fixture.store.silent = true;
    fixture.Register("new", fixture.new_engine, "v2", "decode");
    fixture.store.silent = false;
    CHECK(fixture.TakeUp(first) == 503);
    CHECK(fixture.runs.empty());
    CHECK(fixture.gateway.state.directory.Find({"new"}) != nullptr);
  }
}

}  // namespace

TEST_CASE("a stream that its caller names is taken up out of step") {
  TakeUpAtGateway("r1");
}

TEST_CASE("a stream that no caller names is taken up out of step") {
  TakeUpAtGateway("");
}

}  // namespace carawayvalve::gateway
