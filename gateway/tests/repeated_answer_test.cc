// Guards against an earlier answer, written once more, that is taken for that
// to a request whose id has come again on the connection.
#include <doctest/doctest.h>

#include <algorithm>

#include "platform/repeating_backend.h"
#include "request_fixture.h"

namespace carawayvalve::gateway {

using config::EngineRole;
using tests::RepeatingBackend;

namespace {

config::ServingPlan PaymentPlan() {
  config::ServingPlan plan = NotesPlan(3);
  plan.version = 2;
  plan.routes.front().kind = config::RequestKind::kNonIdempotent;
  plan.routes.front().path_prefix = "/payments/";
  plan.routes.front().services = {{{"payments"}, 1}};
  plan.services = {{{"payments"}, std::nullopt}};
  return plan;
}

net::Request Payment(const std::string& id) {
  net::Request request{"POST", "/payments/1", {{"Host", "shop.example"}}, "5"};
  if (!id.empty()) {
    request.fields.push_back({"X-Request-Id", id});
  }
  return request;
}

void AddPaymentServer(RequestFixture& fixture,
                      const std::string& id,
                      uint16_t port) {
  core::BackendEntry entry;
  entry.id = {id};
  entry.service = {"payments"};
  entry.address = {"127.0.0.1", port};
  entry.slots = 16;
  fixture.gateway.state.directory.NoteEntry(entry);
}

bool IdCameAgain(const RepeatingBackend& backend) {
  const auto arrivals = backend.Arrivals();
  return std::any_of(arrivals.begin(), arrivals.end(),
                     [](const auto& arrival) { return arrival.id_came_again; });
}

}  // namespace

// Guards against requests that are refused while a sound server stands idle,
// as an entry of its earlier start is tried first.
TEST_CASE("an earlier name of a server is registered beside its own") {
  RequestFixture fixture(3, kSlackOfOneRetry);
  fixture.gateway.state.ApplyPlan(PaymentPlan());
  RepeatingBackend backend;
  backend.SetName("later");
  AddPaymentServer(fixture, "later", backend.port());
  AddPaymentServer(fixture, "earlier", backend.port());
  // Makes the earlier name the better choice.
  fixture.gateway.state.load.NoteSent({"later"}, {5, 0, 0});
  for (int i = 1; i <= 10; ++i) {
    fixture.SendRequest([](const std::string&) {},
                        Payment("r" + std::to_string(i)));
    CHECK(fixture.status == 200);
  }
}

TEST_CASE("a payment server repeats its answers") {
  RequestFixture fixture(3, kSlackOfManyRetries);
  fixture.gateway.state.ApplyPlan(PaymentPlan());
  RepeatingBackend backend;
  AddPaymentServer(fixture, "later", backend.port());
  const auto send = [&](const std::string& id) {
    fixture.SendRequest([](const std::string&) {}, Payment(id));
  };

  SUBCASE("its earlier name is registered too, and is tried first") {
    backend.SetName("later");
    AddPaymentServer(fixture, "earlier", backend.port());
    // Makes the earlier name the better choice.
    fixture.gateway.state.load.NoteSent({"later"}, {5, 0, 0});
    send("r1");
    CHECK(fixture.status == 200);
    CHECK(backend.RunsOf("r1") == 1);
  }
  SUBCASE("a caller sends a refused request again with its id") {
    backend.DeclineNext(1);
    send("r1");
    CHECK(fixture.status == 503);
    send("r1");
    CHECK(fixture.status == 200);
    CHECK(backend.RunsOf("r1") == 1);
  }
  SUBCASE("callers send no ids") {
    backend.DeclineNext(1);
    send("");
    CHECK(fixture.status == 503);
    send("");
    CHECK(fixture.status == 200);
    CHECK(backend.RunsOf("") == 1);
  }
  CHECK_FALSE(IdCameAgain(backend));
}

TEST_CASE("an engine repeats its answers") {
  RequestFixture fixture(3, kSlackOfManyRetries);
  fixture.gateway.state.directory.NoteRemoved({"reader"}, base::Now());
  RepeatingBackend engine;
  const auto send = [&] { fixture.SendRequest([](const std::string&) {}); };

  SUBCASE("it prefills a prompt under one name and decodes under another") {
    fixture.Add("prefill", engine.port(), EngineRole::kPrefill);
    fixture.Add("decode", engine.port(), EngineRole::kDecode);
    send();
    CHECK(engine.Arrivals().front().prefill_only);
  }
  SUBCASE("it declines a prefill, and runs the request under another name") {
    engine.SetName("later");
    fixture.Add("earlier", engine.port(), EngineRole::kPrefill);
    fixture.Add("later", engine.port(), EngineRole::kDecode);
    send();
    CHECK(engine.Arrivals().front().declined);
  }
  SUBCASE("a stream ends inside an event, and goes on under another name") {
    engine.CutNext();
    fixture.Add("one", engine.port(), EngineRole::kDecode);
    fixture.Add("other", engine.port(), EngineRole::kDecode);
    send();
    CHECK(engine.RunsOf("r1") == 2);
  }
  CHECK(fixture.status == 200);
  CHECK(fixture.body == tests::StreamEvent("r1", 1) +
                            tests::StreamEvent("r1", 2) +
                            tests::StreamEvent("r1", 3));
  CHECK_FALSE(IdCameAgain(engine));
}

}  // namespace carawayvalve::gateway
