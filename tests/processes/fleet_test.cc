// proof 7: The platform never receives start or stop orders from two processes
// that both act as holder of the fleet duty.

#include <doctest/doctest.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <set>

#include "deployment.h"

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

constexpr char kPlatform[] = "backend-servers";
// Shorter than a holder's timeout for the platform's answer.
constexpr int kAnswerDelayMs = 1500;
// A wrong order would be sent after one of this many polls of the platform's
// list.
constexpr int kPollsToAwait = 3;

json WithMinBackendServers(int min_backend_servers) {
  json declaration = SmallDeclaration();
  for (json& service : declaration["services"]) {
    service["min_backend_servers"] =
        service["name"] == "bench-models" ? min_backend_servers : 0;
  }
  return declaration;
}

json Orders(const Deployment& deployment) {
  return deployment.Get(kPlatform, "/orders")["orders"];
}

int CallCount(const Deployment& deployment, const std::string& call) {
  return deployment.Get(kPlatform, "/calls").value(call, 0);
}

bool IntentIsOpen(const Deployment& deployment) {
  const json object =
      deployment.Get("object-api", "/objects/fleet-intent/fleet%2Fdc-1");
  return json::parse(object["value"].get<std::string>())["open"];
}

std::string Holder(const Deployment& deployment,
                   const std::vector<std::string>& entries) {
  std::string holder;
  Await("a holder of the fleet duty", [&] {
    for (const std::string& entry : entries) {
      const json dump = deployment.Dump(entry);
      for (const json& duty : dump["duties_held"]) {
        if (duty == "fleet/dc-1") {
          holder = entry;
          return true;
        }
      }
    }
    return false;
  });
  return holder;
}

void AwaitPolls(const Deployment& deployment) {
  const int before = CallCount(deployment, "GET backend-servers");
  Await("polls of the platform's list", [&] {
    return CallCount(deployment, "GET backend-servers") >=
           before + kPollsToAwait;
  });
}

// Waits for `count` orders and checks that no more follow, that each has an
// idempotency key of its own and that fencing tokens never decrease.
void CheckOrders(const Deployment& deployment, size_t count) {
  Await("the orders", [&] { return Orders(deployment).size() >= count; });
  AwaitPolls(deployment);
  const json orders = Orders(deployment);
  CHECK(orders.size() == count);
  std::set<std::string> keys;
  int64_t last_token = 0;
  for (const json& order : orders) {
    CHECK(order["order"] == "start");
    CHECK(order["service"] == "bench-models");
    CHECK(keys.insert(order["idempotency_key"]).second);
    CHECK(order["fencing_token"].get<int64_t>() >= last_token);
    last_token = order["fencing_token"];
  }
}

}  // namespace

TEST_CASE("an order to the platform is given exactly once") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.Apply(WithMinBackendServers(0));
  deployment.StartEntry("entry-1");
  deployment.StartEntry("entry-2");
  deployment.AwaitReady("entry-1", 0);
  deployment.AwaitReady("entry-2", 0);
  const std::string holder = Holder(deployment, {"entry-1", "entry-2"});
  const std::string other = holder == "entry-1" ? "entry-2" : "entry-1";
  const auto await_call = [&] {
    Await("the order to arrive",
          [&] { return CallCount(deployment, "POST backend-servers") == 1; });
  };

  SUBCASE("without a minimum nothing is ordered") {
    AwaitPolls(deployment);
    CHECK(Orders(deployment).empty());

    SUBCASE("a minimum one higher leads to one order") {
      deployment.Apply(WithMinBackendServers(1));
      CheckOrders(deployment, 1);

      SUBCASE("a lower minimum stops no backend server") {
        deployment.Apply(WithMinBackendServers(0));
        AwaitPolls(deployment);
        CheckOrders(deployment, 1);
      }
    }
  }

  SUBCASE("an answer is lost after the order took effect") {
    deployment.SetFault(kPlatform, {{"lose_answers", 1}});
    deployment.Apply(WithMinBackendServers(1));
    await_call();
    deployment.Apply(WithMinBackendServers(2));
    CheckOrders(deployment, 2);
  }

  SUBCASE("the holder is killed between intent and answer") {
    deployment.SetFault(kPlatform, {{"delay_ms", kAnswerDelayMs}});
    deployment.Apply(WithMinBackendServers(1));
    await_call();
    deployment.process(holder).Kill();
    CHECK(IntentIsOpen(deployment));
    deployment.SetFault(kPlatform, {{"delay_ms", 0}});
    CHECK(Holder(deployment, {other}) == other);
    Await("the successor to close the intent",
          [&] { return !IntentIsOpen(deployment); });
    deployment.Apply(WithMinBackendServers(3));
    CheckOrders(deployment, 3);
  }

  SUBCASE("the holder is paused past its lease") {
    SUBCASE("between intent and answer") {
      deployment.SetFault(kPlatform, {{"delay_ms", kAnswerDelayMs}});
      deployment.Apply(WithMinBackendServers(1));
      await_call();
      deployment.process(holder).Signal(SIGSTOP);
      CHECK(IntentIsOpen(deployment));
      deployment.SetFault(kPlatform, {{"delay_ms", 0}});
      CHECK(Holder(deployment, {other}) == other);
    }
    SUBCASE("between two orders") {
      deployment.Apply(WithMinBackendServers(1));
      CheckOrders(deployment, 1);
      deployment.process(holder).Signal(SIGSTOP);
      CHECK(Holder(deployment, {other}) == other);
    }
    Await("the successor to finish its orders", [&] {
      return Orders(deployment).size() == 1 && !IntentIsOpen(deployment);
    });
    deployment.Apply(WithMinBackendServers(2));
    CheckOrders(deployment, 2);
    deployment.process(holder).Signal(SIGCONT);
    // The old holder runs again before the next order is due.
    Await("the old holder to receive the change", [&] {
      return deployment.Dump(holder)["configuration_generation"] ==
             deployment.Dump(other)["configuration_generation"];
    });
    deployment.Apply(WithMinBackendServers(6));
    CheckOrders(deployment, 6);
    CHECK(Orders(deployment)[5]["fencing_token"] ==
          Orders(deployment)[1]["fencing_token"]);
  }
}

}  // namespace carawayvalve::tests
