// Guards against abandoned requests that hang or get no final answer. The
// answer comes at once, with the outcome and Retry-After. The calls wait for
// events that never happen, so nothing else can end them.

#include <doctest/doctest.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "background_call.h"
#include "deployment.h"

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

constexpr char kDeadline[] = "X-Request-Deadline-Ms";

void CheckNotRun(const systems::HttpResponse& answer, int status) {
  CHECK(answer.status == status);
  CHECK(systems::FindHeader(answer.headers, "Content-Type") ==
        "application/problem+json");
  CHECK(systems::FindHeader(answer.headers, "Retry-After") != "");
  CHECK(json::parse(answer.body)["outcome"] == "not_run");
}

}  // namespace

TEST_CASE("a request that the entry process gives up is refused as not run") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("plain", "plain", {"--delay-ms=300"});
  json declaration = SmallDeclaration();
  declaration["limits"]["max_queued_per_account"] = 1;
  declaration["client_accounts"][1]["max_requests_in_flight"] = 1;
  deployment.Apply(declaration);
  const std::string north = deployment.GrantKey("north", "north-1");
  const std::string south = deployment.GrantKey("south", "south-1");
  deployment.StartEntry("entry-1");
  const auto has_run = [&](const std::string& path) {
    const json page = deployment.Get("plain", "/runs");
    for (const json& run : page["runs"]) {
      if (run["path"] == path) {
        return true;
      }
    }
    return false;
  };

  SUBCASE("without a ready backend server") {
    deployment.AwaitReady("entry-1", 0);
    CheckNotRun(deployment.Call("entry-1", "POST", "/tickets/1", north, "{}"),
                503);
    CheckNotRun(deployment.Call("entry-1", "POST", kChatPath, north,
                                ChatBody("a watch", true)),
                503);
  }

  SUBCASE("while a hanging request holds the only slot") {
    deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain",
                          {{"slots", 1}});
    deployment.AwaitReady("entry-1", 1);
    Await("the limits to reach the agent", [&] {
      return deployment.Dump("desk-1")["configuration_generation"] == 3;
    });
    BackgroundCall running(deployment, "entry-1", "POST", "/tickets/run", south,
                           "{}");
    Await("the call to run", [&] { return has_run("/tickets/run"); });
    deployment.process("plain").Signal(SIGSTOP);

    SUBCASE("its deadline passes in the queue") {
      CheckNotRun(deployment.Call("entry-1", "POST", "/tickets/late", north,
                                  "{}", {{kDeadline, "1500"}}),
                  504);
      deployment.process("plain").Signal(SIGCONT);
      CHECK(running.Wait().status == 200);
      CHECK_FALSE(has_run("/tickets/late"));
    }

    SUBCASE("the queue of its account is full") {
      BackgroundCall queued(deployment, "entry-1", "POST", "/tickets/queued",
                            north, "{}");
      Await("a request to be queued",
            [&] { return deployment.Dump("desk-1")["queued"] == 1; });
      CheckNotRun(
          deployment.Call("entry-1", "POST", "/tickets/third", north, "{}"),
          503);
      deployment.process("plain").Signal(SIGCONT);
      CHECK(queued.Wait().status == 200);
      CHECK(running.Wait().status == 200);
      CHECK_FALSE(has_run("/tickets/third"));
    }

    SUBCASE("its account is at its limit of requests in flight") {
      CheckNotRun(
          deployment.Call("entry-1", "POST", "/tickets/second", south, "{}"),
          429);
      deployment.process("plain").Signal(SIGCONT);
      CHECK(running.Wait().status == 200);
      CHECK_FALSE(has_run("/tickets/second"));
    }
  }
}

TEST_CASE("a body nested too deeply for the stack is refused without a crash") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("plain", "plain");
  deployment.Apply(SmallDeclaration());
  const std::string key = deployment.GrantKey("north", "north-1");
  deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain");
  deployment.StartEntry("entry-1");
  deployment.AwaitReady("entry-1", 1);
  constexpr size_t kDepth = 1000000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const auto answer = deployment.Call(
      "entry-1", "POST", kChatPath, key,
      R"({"model":"bench-7b","messages":[{"role":"user","content":)"
      R"([{"type":)" +
          deep + "}]}]}");
  CHECK(answer.status == 400);
  CHECK(json::parse(answer.body)["outcome"] == "not_run");
  CHECK(deployment.Call("entry-1", "GET", "/public/1", "").status == 200);
}

}  // namespace carawayvalve::tests
