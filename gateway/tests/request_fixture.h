#ifndef CARAWAYVALVE_GATEWAY_TESTS_REQUEST_FIXTURE_H_
#define CARAWAYVALVE_GATEWAY_TESTS_REQUEST_FIXTURE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/backend.h"
#include "platform/caller.h"
#include "request_handler.h"
#include "test_gateway.h"

namespace carawayvalve::gateway {

inline constexpr std::chrono::seconds kMaxRunTime(3);

// A slack that allows one retry, as the gateway doesn't use the whole of it.
inline constexpr double kSlackOfOneRetry = 1.5;
inline constexpr double kSlackOfManyRetries = 100;

inline GatewaySettings RequestSettings(double retry_slack) {
  GatewaySettings settings;
  settings.host = {"self"};
  settings.bounds.retry_ratio = 0;
  settings.bounds.retry_slack = retry_slack;
  return settings;
}

inline config::ServingPlan NotesPlan(int64_t max_attempts) {
  config::ServingRoute route;
  route.name = {"notes"};
  route.host = "shop.example";
  route.path_prefix = "/notes/";
  route.kind = config::RequestKind::kStream;
  route.resumable = true;
  route.open = true;
  route.services = {{{"models"}, 1}};
  route.max_attempts = max_attempts;
  route.timeout = base::Milliseconds(2500);
  config::ServingPlan plan;
  plan.version = 1;
  plan.routes = {route};
  plan.services = {{{"models"}, config::EngineTraits{400000}}};
  return plan;
}

// Gives the gateway all of the slack, as if it had been the only one for a
// minute.
inline void GrantAllSlack(core::RetryBudgetMembers& retry_members) {
  retry_members = core::RetryBudgetMembers(
      {}, {"self"}, base::Now() - std::chrono::seconds(60));
  retry_members.NoteRegistered(true, base::Now());
  retry_members.NoteListed({});
}

// A gateway whose requests are prefilled at one engine and decoded at others.
struct RequestFixture {
  explicit RequestFixture(int64_t max_attempts,
                          double retry_slack = kSlackOfOneRetry)
      : gateway(RequestSettings(retry_slack)) {
    this->gateway.state.ApplyPlan(NotesPlan(max_attempts));
    GrantAllSlack(this->gateway.state.retry_members);
    this->gateway.state.SetLiveHosts({{"self"}}, base::Now());
    this->Add("reader", this->prefill_engine.port(),
              config::EngineRole::kPrefill);
  }

  void Add(const std::string& id,
           uint16_t port,
           config::EngineRole role,
           const std::string& version = "v1") {
    core::BackendEntry entry;
    entry.id = {id};
    entry.service = {"models"};
    entry.address = {"127.0.0.1", port};
    entry.slots = 16;
    entry.software_version = version;
    entry.role = role;
    this->gateway.state.directory.NoteEntry(entry);
  }

  // Sends a request and runs the loop until it has ended. Calls `on_data` with
  // the body received so far.
  void SendRequest(const std::function<void(const std::string&)>& on_data,
                   const net::Request& request =
                       tests::PromptRequest("shop.example", "/notes/1", "r1")) {
    this->body.clear();
    net::HttpClient caller(this->gateway.loop, std::chrono::seconds(1));
    const auto call = caller.Start(
        {"127.0.0.1", this->server.port()}, request, {},
        [&](const net::CallEvent& event) {
          if (const auto* head = std::get_if<net::CallHead>(&event)) {
            this->status = head->head.status;
          } else if (const auto* data = std::get_if<net::CallBody>(&event)) {
            this->body += data->data;
            on_data(this->body);
          } else if (!std::holds_alternative<net::CallSent>(event)) {
            this->complete = std::holds_alternative<net::CallDone>(event);
            this->gateway.loop.Stop();
          }
        });
    this->gateway.RunFor(kMaxRunTime);
  }

  TestGateway gateway;
  std::vector<tests::BackendRun> runs;
  tests::Backend prefill_engine{gateway.loop, {.id = "reader"}, runs};
  net::HttpServer server{gateway.loop,
                         {"127.0.0.1", 0},
                         [this](const auto& exchange) {
                           std::make_shared<RequestHandler>(
                               this->gateway.context, exchange)
                               ->Start();
                         }};
  int status = 0;
  std::string body;
  bool complete = false;
};

}  // namespace carawayvalve::gateway

#endif  // CARAWAYVALVE_GATEWAY_TESTS_REQUEST_FIXTURE_H_
