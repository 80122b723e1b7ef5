// Guards against answers that are resumed at an engine of another software
// version, whose output doesn't fit to what the caller has.

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "background_call.h"
#include "deployment.h"

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

// Long enough for an engine to start meanwhile.
constexpr char kLongPrompt[] = "tell of a watch length=2400";

// Starts an engine of a version and its agent.
void StartEngine(Deployment& deployment,
                 const std::string& number,
                 const std::string& version) {
  deployment.StartFake("engine-" + number, "engine",
                       {"--models=bench-7b", "--decode-tps=160",
                        "--software-version=" + version});
  deployment.StartAgent("bench-" + number, "bench-models", "model",
                        "engine-" + number);
}

std::string ServerOfAttempt(const Deployment& deployment) {
  std::string server;
  Await("the attempt to show in the dump", [&] {
    const json attempts = deployment.Dump("entry-1")["attempts"];
    server = attempts.empty() ? "" : attempts[0]["backend_server"];
    return !server.empty();
  });
  return server;
}

}  // namespace

TEST_CASE("an answer goes on at another software version") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.Apply(SmallDeclaration());
  const std::string key = deployment.GrantKey("north", "test");
  StartEngine(deployment, "1", "v1");
  StartEngine(deployment, "2", "v1");
  deployment.StartEntry("entry-1");
  deployment.AwaitReady("entry-1", 2);
  // The answer begins at the old version, as there is no other yet.
  BackgroundCall call(deployment, "entry-1", "POST", kChatPath, key,
                      ChatBody(kLongPrompt, true));
  Await("the answer to be streaming",
        [&] { return StreamText(call.Body()).size() > 10; });
  StartEngine(deployment, "3", "v2");
  deployment.AwaitReady("entry-1", 3);
  const std::string first = ServerOfAttempt(deployment);
  REQUIRE(first != "bench-3");
  deployment.process("engine-" + first.substr(first.size() - 1)).Kill();
  std::string second;
  Await("the answer to go on elsewhere", [&] {
    second = ServerOfAttempt(deployment);
    return second != first;
  });
  CHECK(second != "bench-3");
  // Only the new version is left.
  deployment.process("engine-" + second.substr(second.size() - 1)).Kill();
  const auto result = call.Wait();
  CHECK_FALSE(result.complete);
  CHECK_FALSE(HasEndMarker(result.body));
}

}  // namespace carawayvalve::tests
