// Guards against poison requests: a request that crashes each backend server
// that runs it is refused before it crashes a third; innocent requests that run
// beside it aren't refused.

#include <doctest/doctest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "background_call.h"
#include "deployment.h"

namespace carawayvalve::tests {

using nlohmann::json;

TEST_CASE("a poison request crashes at most two engines") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.Apply(SmallDeclaration());
  const std::string key = deployment.GrantKey("north", "test");
  constexpr int kEngines = 4;
  for (int i = 1; i <= kEngines; ++i) {
    const std::string number = std::to_string(i);
    deployment.StartFake(
        "engine-" + number, "engine",
        {"--models=bench-7b", "--crash-on=POISON", "--decode-tps=160"});
    deployment.StartAgent("bench-" + number, "bench-models", "model",
                          "engine-" + number);
  }
  deployment.StartEntry("entry-1");
  deployment.StartEntry("entry-2");
  deployment.AwaitReady("entry-1", kEngines);
  deployment.AwaitReady("entry-2", kEngines);
  const auto count_ready = [&](const std::string& entry) {
    int ready = 0;
    const json dump = deployment.Dump(entry);
    for (const json& server : dump["backend_servers"]) {
      ready += server.value("ready", false) ? 1 : 0;
    }
    return ready;
  };
  const std::string poison = ChatBody("POISON length=5", false);

  constexpr int kInnocentRequests = 8;
  std::vector<std::unique_ptr<BackgroundCall>> innocent_requests;
  innocent_requests.reserve(kInnocentRequests);
  for (int i = 0; i < kInnocentRequests; ++i) {
    innocent_requests.push_back(std::make_unique<BackgroundCall>(
        deployment, "entry-1", "POST", kChatPath, key,
        ChatBody("innocent " + std::to_string(i) + " length=50", true)));
  }
  Await("the innocent requests to be streaming", [&] {
    for (const auto& call : innocent_requests) {
      if (StreamText(call->Body()).empty()) {
        return false;
      }
    }
    return true;
  });

  const auto first = deployment.Call("entry-1", "POST", kChatPath, key, poison);
  CHECK(first.status != 200);
  CHECK(first.status != 401);
  const auto again = deployment.Call("entry-2", "POST", kChatPath, key, poison);
  CHECK(again.status == 503);
  const auto third = deployment.Call("entry-1", "POST", kChatPath, key, poison);
  CHECK(third.status == 503);
  Await("the crashed engines to be shown",
        [&] { return count_ready("entry-1") <= kEngines - 1; });
  CHECK(count_ready("entry-1") >= kEngines - 2);

  SUBCASE("innocent requests beside it complete") {
    for (const auto& call : innocent_requests) {
      const std::string body = call->Wait().body;
      INFO(deployment.AllLogs());
      CHECK(HasEndMarker(body));
    }
  }

  SUBCASE("later requests are served") {
    CHECK(deployment
              .Call("entry-2", "POST", kChatPath, key,
                    ChatBody("length=3", false))
              .status == 200);
  }
}

}  // namespace carawayvalve::tests
