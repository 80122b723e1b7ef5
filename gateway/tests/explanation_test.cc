// An operator asks where a request would go.

#include "explanation.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <random>

#include "carawayvalve/base/error.h"
#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using nlohmann::ordered_json;
using tests::Backend;

namespace {

constexpr int kRandomStates = 200;
constexpr int kMaxAttempts = 1;
constexpr char kShortPrompt[] = R"({
  "host": "shop.example", "path": "/notes/1",
  "prompt": {"model": "m", "max_output_tokens": 100,
             "parts": [{"id": "aa", "tokens": 100}, {"id": "bb", "tokens": 50}]}
})";

// A gateway with three engines that decode, one of which prefills as well.
struct Engines : RequestFixture {
  Engines() : RequestFixture(kMaxAttempts) {
    config::ServingPlan plan = NotesPlan(kMaxAttempts);
    plan.version = 2;
    // Answers don't depend on how busy this machine is.
    plan.routes.front().objective = base::Milliseconds(2500);
    this->gateway.state.ApplyPlan(plan);
    this->Add("first", this->first.port(), EngineRole::kDecode);
    this->Add("second", this->second.port(), EngineRole::kDecode);
    this->Add("third", this->third.port(), EngineRole::kDecode);
  }

  ordered_json Explain(const std::string& request) {
    return gateway::Explain(this->gateway.context,
                            ReadExplainedRequest(request), base::Now());
  }

  Backend first{gateway.loop, {.id = "first"}, runs};
  Backend second{gateway.loop, {.id = "second"}, runs};
  Backend third{gateway.loop, {.id = "third"}, runs};
};

net::Request ShortPrompt() {
  net::Request request =
      tests::PromptRequest("shop.example", "/notes/1", "r1", "aa:100,bb:50");
  for (net::HeaderField& field : request.fields) {
    field.value =
        field.name == tests::kTokenCountsField ? "150,100" : field.value;
  }
  return request;
}

}  // namespace

TEST_CASE("an explanation says where a request goes") {
  SUBCASE("as the next such request shows, in any state") {
    std::mt19937_64 generator(1);
    const auto draw = [&](int64_t most) {
      return std::uniform_int_distribution<int64_t>(0, most)(generator);
    };
    Engines engines;
    std::vector<core::FleetLoad::Ticket> tickets;
    for (int state = 0; state < kRandomStates; ++state) {
      CAPTURE(state);
      for (const char* id : {"first", "second", "third"}) {
        for (int64_t i = draw(4); i > 0; --i) {
          tickets.push_back(
              engines.gateway.state.load.NoteSent({id}, {1, draw(2000), 4000}));
        }
      }
      const ordered_json explanation = engines.Explain(kShortPrompt);
      CHECK(explanation["outcome"] == "sent");
      engines.SendRequest([](const std::string&) {}, ShortPrompt());
      REQUIRE(engines.status == 200);
      CHECK(engines.runs.back().backend == explanation["backend_server"]);
      for (const auto& ticket : tickets) {
        engines.gateway.state.load.NoteEnded(ticket);
      }
      tickets.clear();
    }
  }

  SUBCASE("with each engine's cost, and sends nothing") {
    Engines engines;
    engines.gateway.state.health.NoteUnreachable({"second"}, base::Now());
    const ordered_json explanation = engines.Explain(kShortPrompt);
    CHECK(explanation["route"] == "notes");
    CHECK(explanation["candidates"].size() == 4);
    for (const auto& candidate : explanation["candidates"]) {
      CHECK(candidate.contains("not_a_candidate") ==
            (candidate["id"] == "second"));
    }
    engines.gateway.RunFor(base::Milliseconds(50));
    CHECK(engines.runs.empty());
  }

  SUBCASE("or why it would be refused") {
    Engines engines;
    const ordered_json elsewhere =
        engines.Explain(R"({"host": "other.example", "path": "/notes/1"})");
    CHECK(elsewhere["outcome"] == "refused");
    CHECK(elsewhere["status"] == 404);
    for (const char* id : {"first", "second", "third"}) {
      for (int i = 0; i < 100; ++i) {
        engines.gateway.state.load.NoteSent({id}, {1, 20000, 20000});
      }
    }
    const ordered_json late = engines.Explain(kShortPrompt);
    CHECK(late["outcome"] == "refused");
    CHECK(late["status"] == 503);
  }

  SUBCASE("unless the question is malformed") {
    CHECK_THROWS_AS(ReadExplainedRequest("{}"), base::Error);
    CHECK_THROWS_AS(ReadExplainedRequest("what?"), base::Error);
  }
}

}  // namespace carawayvalve::gateway
