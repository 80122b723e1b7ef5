// proof 1: An engine never receives conflicting orders.
// proof 3: Orders from a process that has lost its lease have no effect.

#include <doctest/doctest.h>

#include <csignal>
#include <nlohmann/json.hpp>

#include "background_call.h"
#include "deployment.h"

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

json WithRule(int min_decode, int min_prefill) {
  json declaration = SmallDeclaration();
  declaration["engine_rules"] = {{{"service", "bench-models"},
                                  {"min_decode_engines", min_decode},
                                  {"min_prefill_engines", min_prefill},
                                  {"dwell_ms", 100}}};
  return declaration;
}

std::string RoleOf(const Deployment& deployment, const std::string& agent) {
  return deployment.Dump(agent)["role"];
}

int CountRole(const Deployment& deployment, const std::string& role) {
  int count = 0;
  for (const char* agent : {"bench-1", "bench-2", "bench-3"}) {
    count += RoleOf(deployment, agent) == role ? 1 : 0;
  }
  return count;
}

std::string Holder(const Deployment& deployment,
                   const std::vector<std::string>& entries) {
  std::string holder;
  Await("a holder of the roles duty", [&] {
    for (const std::string& entry : entries) {
      const json dump = deployment.Dump(entry);
      for (const json& duty : dump["duties_held"]) {
        if (duty == "roles/bench-models") {
          holder = entry;
          return true;
        }
      }
    }
    return false;
  });
  return holder;
}

}  // namespace

TEST_CASE("orders to engines come from one holder and don't conflict") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake(
      "engine-1", "engine",
      {"--models=bench-7b", "--role-change-ms=500", "--checks-fencing=1"});
  for (const char* engine : {"engine-2", "engine-3"}) {
    deployment.StartFake(
        engine, "engine",
        {"--models=bench-7b", "--role-change-ms=500", "--checks-fencing=0"});
  }
  deployment.Apply(SmallDeclaration());
  const std::string key = deployment.GrantKey("north", "test");
  const int control = FreePort();
  deployment.SetPort("bench-1", FreePort());
  deployment.SetPort("bench-1-operator", FreePort());
  deployment.StartForwarder("link", deployment.address("bench-1"), control);
  deployment.StartAgent("bench-1", "bench-models", "model", "engine-1", {},
                        deployment.address("link"));
  for (const char* number : {"2", "3"}) {
    deployment.StartAgent(std::string("bench-") + number, "bench-models",
                          "model", std::string("engine-") + number);
  }
  deployment.StartEntry("entry-1");
  deployment.StartEntry("entry-2");
  deployment.AwaitReady("entry-1", 3);
  deployment.AwaitReady("entry-2", 3);
  const auto check_no_conflicts = [&] {
    for (const char* engine : {"engine-1", "engine-2", "engine-3"}) {
      CHECK(deployment.Get(engine, "/orders")["conflicts"] == 0);
    }
  };

  SUBCASE("the holder assigns the engines the roles that the rule demands") {
    deployment.Apply(WithRule(1, 1));
    Await("the roles", [&] {
      return CountRole(deployment, "decode") == 1 &&
             CountRole(deployment, "prefill") == 1;
    });
    check_no_conflicts();

    SUBCASE("requests are served meanwhile and afterwards") {
      deployment.Apply(WithRule(2, 1));
      const auto answer = deployment.Call("entry-1", "POST", kChatPath, key,
                                          ChatBody("length=3", false));
      CHECK(answer.status == 200);
      Await("the roles", [&] { return CountRole(deployment, "decode") == 2; });
      check_no_conflicts();
    }
  }

  SUBCASE("the holder is paused past its lease, then resumes") {
    const std::string old_holder = Holder(deployment, {"entry-1", "entry-2"});
    const std::string other = old_holder == "entry-1" ? "entry-2" : "entry-1";
    deployment.process(old_holder).Signal(SIGSTOP);
    CHECK(Holder(deployment, {other}) == other);
    deployment.Apply(WithRule(1, 1));
    Await("the successor's orders", [&] {
      return CountRole(deployment, "decode") == 1 &&
             CountRole(deployment, "prefill") == 1;
    });
    deployment.process(old_holder).Signal(SIGCONT);
    Await("the old holder to receive the change", [&] {
      return deployment.Dump(old_holder)["configuration_generation"] == 3;
    });
    check_no_conflicts();
    CHECK(CountRole(deployment, "decode") == 1);
    CHECK(CountRole(deployment, "prefill") == 1);
  }

  SUBCASE(
      "an order in transit past the end of its holder's lease has no effect") {
    const std::string old_holder = Holder(deployment, {"entry-1", "entry-2"});
    const std::string other = old_holder == "entry-1" ? "entry-2" : "entry-1";
    // The order is sent on a connection of its own. The other connections stay
    // up, so that the holder doesn't treat this engine as lost and choose
    // another.
    deployment.ControlForwarder(control, "stall_new", true);
    deployment.Apply(WithRule(1, 0));
    // Among equally loaded engines the first is chosen.
    Await("the order to be sent", [&] {
      return deployment.process(old_holder).Output().find("Sent an order") !=
             std::string::npos;
    });
    deployment.process(old_holder).Kill();
    deployment.Apply(WithRule(0, 0));
    CHECK(Holder(deployment, {other}) == other);
    deployment.ControlForwarder(control, "stall_new", false);
    Await("the agent to refuse it", [&] {
      return deployment.process("bench-1").Output().find("Refused an order") !=
             std::string::npos;
    });
    CHECK(RoleOf(deployment, "bench-1") == "mixed");
    CHECK(deployment.Get("engine-1", "/orders")["orders"].empty());
  }

  SUBCASE("the holder is killed in the middle of an order") {
    const std::string old_holder = Holder(deployment, {"entry-1", "entry-2"});
    const std::string other = old_holder == "entry-1" ? "entry-2" : "entry-1";
    deployment.Apply(WithRule(1, 1));
    Await("a first order to be in progress", [&] {
      for (const char* engine : {"engine-1", "engine-2", "engine-3"}) {
        if (!deployment.Get(engine, "/orders")["orders"].empty()) {
          return true;
        }
      }
      return false;
    });
    deployment.process(old_holder).Kill();
    Await("the successor to finish the work", [&] {
      return CountRole(deployment, "decode") == 1 &&
             CountRole(deployment, "prefill") == 1;
    });
    check_no_conflicts();
  }
}

}  // namespace carawayvalve::tests
