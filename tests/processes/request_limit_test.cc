// Guards against backend servers that name the rate of requests that they take
// and get more.

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "background_call.h"
#include "deployment.h"

namespace carawayvalve::tests {

namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

// From this time after a limit was named on, at most kToleratedFactor times
// what it allows, and kToleratedRequests more, may arrive in kLimitWindow (the
// platform's rule).
constexpr seconds kContactTime(3);
constexpr seconds kLimitWindow(4);
constexpr double kLimit = 2;
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedRequests = 5;

int64_t Tolerated() {
  return static_cast<int64_t>(
      kToleratedFactor * kLimit *
          std::chrono::duration<double>(kLimitWindow).count() +
      kToleratedRequests);
}

// Backend servers of one kind, two of them, behind two entry processes.
struct LimitedService {
  std::string name;
  std::string kind;
  std::string agent_kind;
  std::string path;
  std::string body;
  // The call that counts a request at the stand-in.
  std::string call;
};

std::vector<LimitedService> LimitedServices() {
  return {{"ticket-desk", "plain", "plain", "/tickets/1", "{}", "POST tickets"},
          {"bench-models", "engine", "model", kChatPath,
           ChatBody("length=3", false), "POST generate"}};
}

}  // namespace

TEST_CASE("a backend server gets more than the rate it names") {
  for (const LimitedService& service : LimitedServices()) {
    CAPTURE(service.name);
    Deployment deployment;
    StartPlatform(deployment);
    deployment.Apply(SmallDeclaration());
    const std::string key = deployment.GrantKey("north", "test");
    for (const char* number : {"1", "2"}) {
      const std::string stand_in = std::string("server-") + number;
      deployment.StartFake(stand_in, service.kind,
                           service.kind == "engine"
                               ? std::vector<std::string>{"--models=bench-7b"}
                               : std::vector<std::string>{});
      deployment.StartAgent(std::string("host-") + number, service.name,
                            service.agent_kind, stand_in);
    }
    deployment.StartEntry("entry-1");
    deployment.StartEntry("entry-2");
    deployment.AwaitReady("entry-1", 2);
    deployment.AwaitReady("entry-2", 2);
    int64_t sent = 0;
    int64_t served = 0;
    const auto send_for = [&](seconds time) {
      const auto end = steady_clock::now() + time;
      while (steady_clock::now() < end) {
        const std::string entry = ++sent % 2 == 0 ? "entry-1" : "entry-2";
        served +=
            deployment.Call(entry, "POST", service.path, key, service.body)
                        .status == 200
                ? 1
                : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    };
    const auto arrived = [&] {
      return deployment.Get("server-1", "/calls").value(service.call, 0);
    };
    deployment.SetFault("server-1", {{"rate_limit", std::to_string(kLimit)}});
    send_for(kContactTime);
    int64_t before = arrived();
    send_for(kLimitWindow);
    INFO(deployment.AllLogs());
    CHECK(arrived() - before <= Tolerated());
    CHECK(arrived() > before);
    // The other one takes what the first one doesn't.
    CHECK(served * 10 >= sent * 9);

    // Withdrawn: it serves as before.
    deployment.SetFault("server-1", {{"rate_limit", ""}});
    before = arrived();
    send_for(kLimitWindow);
    CHECK(arrived() - before > Tolerated());
  }
}

}  // namespace carawayvalve::tests
