// proof 11: A non-idempotent request runs at most once.
// proof 10: A request that is refused as "not run" hasn't run.

#include <doctest/doctest.h>

#include <csignal>

#include "background_call.h"
#include "deployment.h"

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

constexpr char kDeposit[] = "/tickets/17/deposit";
constexpr char kBody[] = R"({"pounds":20})";

size_t Runs(const Deployment& deployment, const std::string& service) {
  return deployment.Get(service, "/runs")["runs"].size();
}

std::string OutcomeOf(const std::string& body) {
  return json::parse(body).value("outcome", "");
}

std::vector<systems::HttpHeader> IdempotencyKey(const std::string& key) {
  return {{"Idempotency-Key", key}};
}

}  // namespace

TEST_CASE("a call that may not be repeated runs at most once") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("plain", "plain", {"--delay-ms=300"});
  deployment.Apply(SmallDeclaration());
  const std::string key = deployment.GrantKey("north", "test");
  deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain");
  deployment.StartEntry("entry-1");
  deployment.StartEntry("entry-2");
  deployment.AwaitReady("entry-1", 1);
  deployment.AwaitReady("entry-2", 1);
  const auto start_call = [&](const std::string& entry,
                              const std::vector<systems::HttpHeader>& headers) {
    return std::make_unique<BackgroundCall>(deployment, entry, "POST", kDeposit,
                                            key, kBody, headers);
  };

  SUBCASE("the entry process is killed after sending") {
    const auto first = start_call("entry-1", IdempotencyKey("deposit-17"));
    Await("the call to run", [&] { return Runs(deployment, "plain") == 1; });
    deployment.process("entry-1").Kill();
    CHECK_FALSE(first->Wait().complete);

    SUBCASE("a retry through another entry process doesn't run it again") {
      const auto retry = deployment.Call("entry-2", "POST", kDeposit, key,
                                         kBody, IdempotencyKey("deposit-17"));
      CHECK(retry.status == 409);
      CHECK(Runs(deployment, "plain") == 1);
    }

    SUBCASE("the outcome is unknown once the host list drops that process") {
      deployment.RemoveHost("entry-1");
      Await("the claim's holder to be recognised as lost", [&] {
        const auto retry = deployment.Call("entry-2", "POST", kDeposit, key,
                                           kBody, IdempotencyKey("deposit-17"));
        return OutcomeOf(retry.body) == "unknown_outcome";
      });
      CHECK(Runs(deployment, "plain") == 1);
    }
  }

  SUBCASE(
      "concurrent calls with one idempotency key through both entry "
      "processes") {
    const auto first_call = start_call("entry-1", IdempotencyKey("deposit-18"));
    const auto second_call =
        start_call("entry-2", IdempotencyKey("deposit-18"));
    const int statuses = first_call->Wait().status + second_call->Wait().status;
    CHECK(Runs(deployment, "plain") == 1);
    CHECK((statuses == 200 + 409 || statuses == 200 + 200));

    SUBCASE("a retry after the end gets the stored answer") {
      BackgroundCall::Result retry;
      Await("the answer to be stored", [&] {
        retry = start_call("entry-2", IdempotencyKey("deposit-18"))->Wait();
        return retry.status == 200;
      });
      CHECK(retry.body.find("\"run\":1") != std::string::npos);
      CHECK(Runs(deployment, "plain") == 1);
    }

    SUBCASE("a retry with another body is refused") {
      const auto answer = deployment.Call("entry-1", "POST", kDeposit, key,
                                          "{}", IdempotencyKey("deposit-18"));
      CHECK(answer.status == 422);
      CHECK(Runs(deployment, "plain") == 1);
    }
  }

  SUBCASE("the store's answer to the claim is lost") {
    deployment.SetFault("object-api", {{"lose_answers", 1}});
    const auto result =
        start_call("entry-1", IdempotencyKey("deposit-19"))->Wait();
    CHECK(result.status == 200);
    CHECK(Runs(deployment, "plain") == 1);
  }

  SUBCASE("the store is down") {
    deployment.SetFault("object-api", {{"down", true}});
    const auto refused =
        start_call("entry-1", IdempotencyKey("deposit-20"))->Wait();
    CHECK(refused.status == 503);
    CHECK(OutcomeOf(refused.body) == "not_run");
    CHECK(Runs(deployment, "plain") == 0);

    SUBCASE("after it recovers, the refused request hasn't run and may run") {
      deployment.SetFault("object-api", {{"down", false}});
      BackgroundCall::Result result;
      Await("the claim to be released", [&] {
        result = start_call("entry-2", IdempotencyKey("deposit-20"))->Wait();
        return result.status == 200;
      });
      CHECK(Runs(deployment, "plain") == 1);
    }
  }

  SUBCASE("the agent is killed while the call runs") {
    const auto call = start_call("entry-1", {});
    Await("the call to run", [&] { return Runs(deployment, "plain") == 1; });
    deployment.process("desk-1").Kill();

    SUBCASE("the caller gets the outcome unknown") {
      const auto result = call->Wait();
      CHECK(result.status == 502);
      CHECK(OutcomeOf(result.body) == "unknown_outcome");
      CHECK(Runs(deployment, "plain") == 1);
    }

    SUBCASE("a restarted agent doesn't run it again") {
      deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain");
      const auto result = call->Wait();
      CHECK(OutcomeOf(result.body) == "unknown_outcome");
      CHECK(Runs(deployment, "plain") == 1);
    }
  }

  SUBCASE("the backend server is killed while the call runs") {
    const auto call = start_call("entry-1", {});
    Await("the call to run", [&] { return Runs(deployment, "plain") == 1; });
    deployment.process("plain").Kill();
    const auto result = call->Wait();
    CHECK(result.status == 502);
    CHECK(OutcomeOf(result.body) == "unknown_outcome");
  }

  SUBCASE("the backend server is down: the call is refused and hasn't run") {
    deployment.process("plain").Kill();
    const auto result = start_call("entry-1", {})->Wait();
    CHECK(result.status == 503);
    CHECK(OutcomeOf(result.body) == "not_run");
    deployment.StartFake("plain", "plain");
    CHECK(Runs(deployment, "plain") == 0);
  }
}

TEST_CASE("a submission whose connection is cut in transit runs at most once") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("plain", "plain");
  deployment.Apply(SmallDeclaration());
  const std::string key = deployment.GrantKey("north", "test");
  const int control = FreePort();
  const int agent_port = FreePort();
  deployment.SetPort("desk-1", agent_port);
  deployment.SetPort("desk-1-operator", FreePort());
  deployment.StartForwarder("link", "127.0.0.1:" + std::to_string(agent_port),
                            control);
  deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain", {},
                        deployment.address("link"));
  deployment.StartEntry("entry-1");
  deployment.AwaitReady("entry-1", 1);

  SUBCASE("the link stalls before the call and recovers after the call ended") {
    deployment.ControlForwarder(control, "stall", true);
    BackgroundCall call(deployment, "entry-1", "POST", kDeposit, key, kBody);
    const auto result = call.Wait();
    CHECK(result.status != 200);
    const std::string outcome = OutcomeOf(result.body);
    deployment.ControlForwarder(control, "stall", false);
    // Once a later call is answered, everything before it has been delivered.
    deployment.AwaitReady("entry-1", 1);
    BackgroundCall::Result later;
    Await("a later call to run", [&] {
      later = BackgroundCall(deployment, "entry-1", "POST", "/tickets/later",
                             key, "{}")
                  .Wait();
      return later.status == 200;
    });
    size_t deposits = 0;
    const json page = deployment.Get("plain", "/runs");
    for (const json& run : page["runs"]) {
      deposits += run["path"] == kDeposit ? 1 : 0;
    }
    CHECK(deposits <= 1);
    if (outcome == "not_run") {
      CHECK(deposits == 0);
    }
  }
}

}  // namespace carawayvalve::tests
