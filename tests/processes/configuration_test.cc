// proof 14: An accepted configuration is in force in every process within
// seconds and never reverts.

#include <doctest/doctest.h>

#include <future>
#include <nlohmann/json.hpp>

#include "background_call.h"
#include "deployment.h"

namespace carawayvalve::tests {

using nlohmann::json;

namespace {

json WithDeadline(int64_t deadline_ms) {
  json declaration = SmallDeclaration();
  declaration["routes"][0]["deadline_ms"] = deadline_ms;
  return declaration;
}

int64_t Generation(const Deployment& deployment, const std::string& name) {
  return deployment.Dump(name)["configuration_generation"];
}

}  // namespace

TEST_CASE("an accepted configuration reaches every process and isn't lost") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("plain", "plain");
  deployment.Apply(SmallDeclaration());
  const std::string key = deployment.GrantKey("north", "test");
  deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain");
  const std::vector<std::string> entries = {"entry-1", "entry-2", "entry-3",
                                            "entry-4"};
  for (const std::string& entry : entries) {
    deployment.StartEntry(entry);
  }
  for (const std::string& entry : entries) {
    deployment.AwaitReady(entry, 1);
  }
  const auto await_everywhere = [&](int64_t generation) {
    for (const std::string& entry : entries) {
      Await("the generation at " + entry,
            [&] { return Generation(deployment, entry) == generation; });
    }
    Await("the generation at the agent",
          [&] { return Generation(deployment, "desk-1") == generation; });
  };
  await_everywhere(2);

  SUBCASE("a change reaches every entry process and the agents") {
    deployment.Apply(WithDeadline(20000));
    await_everywhere(3);

    SUBCASE("applying the same declaration again changes nothing") {
      deployment.Apply(WithDeadline(20000));
      deployment.Apply(WithDeadline(21000));
      await_everywhere(4);
    }
  }

  SUBCASE("only two processes of the data centre watch the store") {
    int followers = 0;
    Await("the configuration sources to settle", [&] {
      followers = 0;
      for (const std::string& entry : entries) {
        const json dump = deployment.Dump(entry);
        followers += dump["configuration_source"] == "" ? 1 : 0;
      }
      return followers == 2;
    });

    SUBCASE("when they are killed the remaining processes take over") {
      std::vector<std::string> left;
      for (const std::string& entry : entries) {
        const json dump = deployment.Dump(entry);
        if (dump["configuration_source"] == "") {
          deployment.process(entry).Kill();
        } else {
          left.push_back(entry);
        }
      }
      deployment.Apply(WithDeadline(22000));
      for (const std::string& entry : left) {
        Await("the generation at " + entry,
              [&] { return Generation(deployment, entry) == 3; });
      }
    }
  }

  SUBCASE("concurrent changes by operators: no accepted change is lost") {
    constexpr int kOperators = 6;
    std::vector<std::future<bool>> changes;
    changes.reserve(kOperators);
    for (int i = 0; i < kOperators; ++i) {
      changes.push_back(std::async(std::launch::async, [&, i] {
        try {
          deployment.GrantKey("south", "race-" + std::to_string(i));
          return true;
        } catch (const std::exception&) {
          return false;  // Refused with a conflict.
        }
      }));
    }
    int64_t accepted = 0;
    for (auto& change : changes) {
      accepted += change.get() ? 1 : 0;
    }
    CHECK(accepted >= 1);
    await_everywhere(2 + accepted);
  }

  SUBCASE("the store is down") {
    deployment.Apply(WithDeadline(23000));
    await_everywhere(3);
    deployment.SetFault("object-api", {{"down", true}});

    SUBCASE("requests are still served") {
      CHECK(deployment.Call("entry-1", "GET", "/tickets/1", key).status == 200);
    }

    SUBCASE(
        "a restarted process takes the newest configuration from its peers") {
      deployment.process("entry-3").Kill();
      deployment.StartEntry("entry-3");
      deployment.AwaitReady("entry-3", 1);
      CHECK(Generation(deployment, "entry-3") == 3);
      CHECK(deployment.Call("entry-3", "GET", "/tickets/1", key).status == 200);
    }
  }
}

}  // namespace carawayvalve::tests
