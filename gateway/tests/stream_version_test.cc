// Guards against streams that hold events of two software versions, whose
// outputs don't fit together.

#include <doctest/doctest.h>

#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using tests::Backend;

namespace {

// Enough for a second prefill.
constexpr int kMaxAttempts = 3;

net::Request Stream(const std::string& id) {
  return tests::PromptRequest("shop.example", "/notes/1", id);
}

// A request that takes the stream of `first` up after `event`; its caller
// doesn't name the request if `first` is empty.
net::Request TakingUp(const std::string& id,
                      const std::string& first,
                      const std::string& event) {
  net::Request request = Stream(id);
  request.fields.push_back({"Last-Event-Id", event});
  if (!first.empty()) {
    request.fields.push_back({tests::kResumedStreamField, first});
  }
  return request;
}

// Callers take streams up within a few of these timeouts.
constexpr base::Milliseconds kShortTimeout(200);
constexpr base::Milliseconds kTakeUpTime = 4 * kShortTimeout;

// A gateway whose predecessors are all gone: it knows no stream.
struct RestartedGateway : RequestFixture {
  RestartedGateway() : RequestFixture(kMaxAttempts, kSlackOfManyRetries) {
    config::ServingPlan plan = NotesPlan(kMaxAttempts);
    plan.version = 2;
    plan.routes.front().timeout = kShortTimeout;
    this->gateway.state.ApplyPlan(plan);
    this->gateway.state.directory.NoteRemoved({"reader"}, base::Now());
    this->Add("new", this->new_engine.port(), EngineRole::kDecode, "v2");
    this->Tick();
    // As if the store answered at once.
    this->gateway.origin_lookup.SetRegistryKnownTo([] { return base::Now(); });
  }

  void Tick() { this->gateway.state.directory.Expire(base::Now()); }

  // Sends a request that takes a stream up. Returns its status.
  int TakeUp(const std::string& first) {
    net::Request request = TakingUp("r9", first, "1");
    // Short enough to be read within the timeout.
    for (net::HeaderField& field : request.fields) {
      field.value =
          field.name == tests::kTokenCountsField ? "100,10" : field.value;
    }
    this->SendRequest([](const std::string&) {}, request);
    return this->status;
  }

  Backend new_engine{gateway.loop, {.id = "new", .version = "v2"}, runs};
};

// All gateways were lost, and the caller takes a stream up; `first` is empty if
// it doesn't name the request that began it.
void TakeUpAfterLoss(const std::string& first) {
  RestartedGateway fixture;
  core::BackendDirectory& directory = fixture.gateway.state.directory;

  SUBCASE("while two versions serve") {
    Backend old_engine(fixture.gateway.loop, {.id = "old", .version = "v1"},
                       fixture.runs);
    fixture.Add("old", old_engine.port(), EngineRole::kDecode, "v1");
    fixture.Tick();
    CHECK(fixture.TakeUp(first) == 503);
    CHECK(fixture.runs.empty());
  }
  SUBCASE("when the old version has just gone") {
    CHECK(fixture.TakeUp(first) == 503);
    CHECK(fixture.runs.empty());
  }
  SUBCASE("when another version has come and gone since") {
    fixture.Add("old", fixture.new_engine.port(), EngineRole::kDecode, "v1");
    directory.NoteRemoved({"old"}, base::Now());
    CHECK(fixture.TakeUp(first) == 503);
    CHECK(fixture.runs.empty());
  }
  SUBCASE("when no stream of another version is taken up any more") {
    fixture.gateway.RunFor(kTakeUpTime);
    fixture.Tick();
    CHECK(fixture.TakeUp(first) == 200);
    CHECK(fixture.runs.size() == 1);
  }
  SUBCASE("though changes of the registry are missing") {
    fixture.gateway.RunFor(kTakeUpTime);
    fixture.Tick();
    directory.SetCurrent(false);
    CHECK(fixture.TakeUp(first) == 503);
    CHECK(fixture.runs.empty());
  }
}

}  // namespace

TEST_CASE("a broken stream goes on at another software version") {
  RequestFixture fixture(kMaxAttempts, kSlackOfManyRetries);
  Backend old_engine(fixture.gateway.loop, {.id = "old", .version = "v1"},
                     fixture.runs);
  fixture.Add("old", old_engine.port(), EngineRole::kDecode, "v1");
  Backend new_engine(fixture.gateway.loop, {.id = "new", .version = "v2"},
                     fixture.runs);
  fixture.Add("new", new_engine.port(), EngineRole::kDecode, "v2");
  // Makes the old one the better choice.
  fixture.gateway.state.load.NoteSent({"new"}, {5, 0, 1000});
  old_engine.cut_streams = 1;

  SUBCASE("which only the other version could") {
    fixture.SendRequest([](const std::string&) {}, Stream("r1"));
    CHECK(fixture.status == 200);
    CHECK_FALSE(fixture.complete);
    CHECK(fixture.body == tests::StreamEvent("r1", 1, "v1"));

    SUBCASE("nor when the caller takes it up") {
      const size_t before = fixture.runs.size();
      fixture.gateway.state.directory.NoteRemoved({"old"}, base::Now());
      fixture.SendRequest([](const std::string&) {}, TakingUp("r2", "r1", "1"));
      CHECK(fixture.status == 503);
      CHECK(fixture.runs.size() == before);
    }
    SUBCASE("or takes it up again") {
      Backend second(fixture.gateway.loop, {.id = "second", .version = "v1"},
                     fixture.runs);
      fixture.Add("second", second.port(), EngineRole::kDecode, "v1");
      fixture.gateway.state.directory.NoteRemoved({"old"}, base::Now());
      second.cut_streams = 1;
      fixture.SendRequest([](const std::string&) {}, TakingUp("r2", "r1", "0"));
      CHECK(fixture.body == tests::StreamEvent("r2", 1, "v1"));
      fixture.SendRequest([](const std::string&) {}, TakingUp("r3", "r1", "1"));
      CHECK(fixture.status == 200);
      CHECK(fixture.complete);
      CHECK(fixture.runs.back().backend == "second");
    }
  }
  SUBCASE("though another one of its own version serves") {
    Backend second(fixture.gateway.loop, {.id = "second", .version = "v1"},
                   fixture.runs);
    fixture.Add("second", second.port(), EngineRole::kDecode, "v1");
    fixture.gateway.state.load.NoteSent({"second"}, {9, 0, 5000});
    fixture.SendRequest([](const std::string&) {}, Stream("r1"));
    CHECK(fixture.status == 200);
    CHECK(fixture.complete);
    CHECK(fixture.runs.back().backend == "second");
  }
}

TEST_CASE("a stream whose request has a long id isn't taken up") {
  const std::string first(1000, 'r');
  RequestFixture fixture(kMaxAttempts, kSlackOfManyRetries);
  Backend old_engine(fixture.gateway.loop, {.id = "old", .version = "v1"},
                     fixture.runs);
  fixture.Add("old", old_engine.port(), EngineRole::kDecode, "v1");
  old_engine.cut_streams = 1;
  // No other attempt goes on with it here.
  fixture.gateway.state.directory.NoteRemoved({"generator"}, base::Now());
  fixture.SendRequest([](const std::string&) {}, Stream(first));
  CHECK_FALSE(fixture.complete);
  fixture.gateway.state.directory.NoteRemoved({"old"}, base::Now());
  Backend same(fixture.gateway.loop, {.id = "same", .version = "v1"},
               fixture.runs);
  fixture.Add("same", same.port(), EngineRole::kDecode, "v1");
  Backend other(fixture.gateway.loop, {.id = "other", .version = "v2"},
                fixture.runs);
  fixture.Add("other", other.port(), EngineRole::kDecode, "v2");
  fixture.SendRequest([](const std::string&) {}, TakingUp("r2", first, "1"));
  CHECK(fixture.status == 200);
  CHECK(fixture.complete);
  CHECK(fixture.runs.back().backend == "same");
}

TEST_CASE("a stream that its caller names is taken up after the loss of all") {
  TakeUpAfterLoss("r1");
}

TEST_CASE("a stream that no caller names is taken up after the loss of all") {
  TakeUpAfterLoss("");
}

TEST_CASE("a caller takes a stream up without naming it") {
  RestartedGateway fixture;
  Backend old_engine(fixture.gateway.loop, {.id = "old", .version = "v1"},
                     fixture.runs);
  fixture.Add("old", old_engine.port(), EngineRole::kDecode, "v1");
  const auto note = [&](const std::string& first, const std::string& version) {
    fixture.gateway.state.stream_origins.Note(
        {{first},
         version,
         {},
         core::StreamContentDigest(
             {}, Stream("").target, Stream("").body,
             platform::DecodeCallerRequest(Stream("")).prompt)},
        base::Now());
  };
  note("r1", "v1");

  SUBCASE("which goes on where its content began") {
    CHECK(fixture.TakeUp("") == 200);
    REQUIRE(fixture.runs.size() == 1);
    CHECK(fixture.runs.front().backend == "old");
  }
  SUBCASE("whose content began at two versions") {
    note("r2", "v2");
    CHECK(fixture.TakeUp("") == 503);
    CHECK(fixture.runs.empty());
  }
  SUBCASE("whose content may have begun at a peer that is silent") {
    fixture.gateway.state.SetLiveHosts({{"peer"}, {"self"}}, base::Now());
    CHECK(fixture.TakeUp("") == 503);
    CHECK(fixture.runs.empty());
  }
  SUBCASE("whose content may have begun at a peer that answers") {
    fixture.gateway.state.SetLiveHosts({{"peer"}, {"self"}}, base::Now());
    fixture.gateway.origin_lookup.SetAsk([&](const OriginQuestion& question) {
      fixture.gateway.origin_lookup.NoteAnswered({"peer"}, question.number);
    });
    CHECK(fixture.TakeUp("") == 200);
    CHECK(fixture.runs.size() == 1);
  }
  SUBCASE("while what lost gateways have stored can't be read") {
    fixture.gateway.origin_lookup.SetReadStored(
        [](const auto& done) { done(false); });
    CHECK(fixture.TakeUp("") == 503);
    CHECK(fixture.runs.empty());
  }
}

// Guards against a search that proves the origin of a stream which began after
// the proof.
TEST_CASE("callers take up streams of one content one after the other") {
  RestartedGateway fixture;
  TestGateway& gateway = fixture.gateway;
  gateway.RunFor(kTakeUpTime);
  fixture.Tick();
  base::Instant known_to = base::Now();
  gateway.origin_lookup.SetRegistryKnownTo([&] { return known_to; });
  const TakenUpStream stream{{}, "content", {"models"}, kShortTimeout};
  int ended = 0;
  const auto find = [&] {
    gateway.origin_lookup.Find(stream, [&](const core::OriginVerdict& verdict) {
      CHECK(std::holds_alternative<core::ContinueAtVersion>(verdict));
      ++ended;
    });
  };
  gateway.RunFor(base::Milliseconds(1));
  find();
  const base::Instant after_first = base::Now();
  gateway.RunFor(base::Milliseconds(10));
  find();
  REQUIRE(ended == 0);
  known_to = after_first;
  gateway.origin_lookup.NoteLearned();
  CHECK(ended == 1);
  known_to = base::Now();
  gateway.origin_lookup.NoteLearned();
  CHECK(ended == 2);
}

}  // namespace carawayvalve::gateway
