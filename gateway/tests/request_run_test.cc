#include "request_run.h"

#include <doctest/doctest.h>

#include <memory>

#include "platform/backend.h"
#include "platform/caller.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

using base::Milliseconds;
using config::EngineRole;
using tests::Backend;

namespace {

// Nothing listens there.
constexpr uint16_t kClosedPort = 1;
constexpr std::chrono::seconds kLongest(3);

// Allows one retry: a part of the slack stays unused.
GatewaySettings Settings() {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.bounds.retry_ratio = 0;
  settings.bounds.retry_slack = 1.5;
  return settings;
}

config::ServingPlan Plan(int64_t max_attempts) {
  config::ServingRoute route;
  route.name = {"notes"};
  route.host = "shop.example";
  route.path_prefix = "/notes/";
  route.kind = config::RequestKind::kStream;
  route.resumable = true;
  route.open = true;
  route.services = {{{"models"}, 1}};
  route.max_attempts = max_attempts;
  route.timeout = Milliseconds(2500);
  config::ServingPlan plan;
  plan.version = 1;
  plan.routes = {route};
  plan.services = {{{"models"}, config::EngineTraits{400000}}};
  return plan;
}

// As if this gateway had run alone for long.
void TakeSlack(core::RetryBudgetMembers& sharers) {
  sharers = core::RetryBudgetMembers({}, {"self"},
                                     base::Now() - std::chrono::seconds(60));
  sharers.NoteRegistered(true, base::Now());
  sharers.NoteListed({});
}

// A gateway whose requests read their prompts at one engine and run at others.
struct Entry {
  explicit Entry(int64_t max_attempts) : gateway(Settings()) {
    this->gateway.beliefs.TakePlan(Plan(max_attempts));
    TakeSlack(this->gateway.beliefs.sharers);
    this->Add("reader", this->reader.port(), EngineRole::kPrefill);
  }

  void Add(const std::string& id, uint16_t port, EngineRole role) {
    core::BackendEntry entry;
    entry.id = {id};
    entry.service = {"models"};
    entry.address = {"127.0.0.1", port};
    entry.slots = 16;
    entry.role = role;
    this->gateway.beliefs.directory.NoteEntry(entry);
  }

  // Sends a request and runs until it has ended; `on_data` is called with all
  // that has arrived of the answer so far.
  void Ask(const std::function<void(const std::string&)>& on_data) {
    net::HttpClient caller(this->gateway.loop, std::chrono::seconds(1));
    const auto call = caller.Start(
        {"127.0.0.1", this->server.port()},
        tests::PromptRequest("shop.example", "/notes/1", "r1"), {},
        [&](const net::CallEvent& event) {
          if (const auto* head = std::get_if<net::CallHead>(&event)) {
            this->status = head->head.status;
          } else if (const auto* data = std::get_if<net::CallBody>(&event)) {
            this->body += data->data;
            on_data(this->body);
          } else if (!std::holds_alternative<net::CallSent>(event)) {
            this->whole = std::holds_alternative<net::CallDone>(event);
            this->gateway.loop.Stop();
          }
        });
    this->gateway.RunFor(kLongest);
  }

  TestGateway gateway;
  std::vector<tests::BackendRun> runs;
  Backend reader{gateway.loop, {.id = "reader"}, runs};
  net::HttpServer server{
      gateway.loop,
      {"127.0.0.1", 0},
      [this](const auto& exchange) {
        std::make_shared<RequestRun>(this->gateway.context, exchange)->Start();
      }};
  int status = 0;
  std::string body;
  bool whole = false;
};

}  // namespace

TEST_CASE("a prompt was read, and the engine that was to run it is gone") {
  Entry entry(1);
  entry.Add("gone", kClosedPort, EngineRole::kDecode);
  Backend generator(entry.gateway.loop, {.id = "generator"}, entry.runs);
  entry.Add("generator", generator.port(), EngineRole::kDecode);
  // So that the one that is gone seems the better choice.
  entry.gateway.beliefs.load.NoteSent({"generator"}, {5, 0, 1000});
  entry.Ask([](const std::string&) {});

  SUBCASE("another one takes it, without a second reading") {
    CHECK(entry.status == 200);
    CHECK(entry.whole);
    CHECK(entry.reader.prefill_count == 1);
    CHECK(entry.runs.size() == 1);
  }
}

TEST_CASE("an engine dies amid its events") {
  Entry entry(3);
  auto dying = std::make_unique<Backend>(
      entry.gateway.loop, Backend::Settings{.id = "dying"}, entry.runs);
  entry.Add("dying", dying->port(), EngineRole::kDecode);
  Backend other(entry.gateway.loop, {.id = "other"}, entry.runs);
  entry.Add("other", other.port(), EngineRole::kDecode);
  entry.gateway.beliefs.load.NoteSent({"other"}, {5, 0, 1000});

  SUBCASE("and no retry is left for reading the prompt again") {
    entry.Ask([&](const std::string&) {
      entry.reader.declines = true;
      entry.gateway.loop.Post([&] { dying.reset(); });
    });

    SUBCASE("the caller sees that its answer isn't whole") {
      CHECK(entry.status == 200);
      CHECK_FALSE(entry.whole);
      CHECK_FALSE(entry.body.empty());
      CHECK(entry.body.find("error") == std::string::npos);
    }
  }
}

}  // namespace carawayvalve::gateway
