// proof 4: Except on open routes, a request runs only for the client account
// whose key it carries.
// proof 5: No backend server sees a caller's key.
// proof 6: A withdrawn key stops working within seconds.

#include <doctest/doctest.h>

#include <csignal>

#include <nlohmann/json.hpp>

#include "background_call.h"
#include "deployment.h"

namespace carawayvalve::tests {

using nlohmann::json;

TEST_CASE("a request runs only with a valid key of its account") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("plain", "plain", {"--delay-ms=300"});
  deployment.Apply(SmallDeclaration());
  const std::string north = deployment.GrantKey("north", "north-1");
  const std::string south = deployment.GrantKey("south", "south-1");
  deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain",
                        {{"slots", 1}});
  deployment.StartEntry("entry-1");
  deployment.StartEntry("entry-2");
  deployment.AwaitReady("entry-1", 1);
  deployment.AwaitReady("entry-2", 1);

  SUBCASE("a request with an unknown key doesn't run") {
    CHECK(deployment.Call("entry-1", "POST", "/tickets/1", "cvk_none", "{}")
              .status == 401);
    CHECK(deployment.Call("entry-1", "POST", "/tickets/1", "", "{}").status ==
          401);
    CHECK(deployment.Get("plain", "/runs")["runs"].empty());
  }

  SUBCASE(
      "a request runs for the account of its key, whatever its other fields") {
    BackgroundCall call(deployment, "entry-1", "POST", "/tickets/1", south,
                        "{}", {{"X-Client-Account", "north"}});
    Await("the attempt to show", [&] {
      const json attempts = deployment.Dump("entry-1")["attempts"];
      return !attempts.empty() && attempts[0]["client_account"] == "south";
    });
    CHECK(call.Wait().status == 200);
  }

  SUBCASE("the key isn't passed on beyond the entry process or logged") {
    const auto answer =
        deployment.Call("entry-1", "POST", "/tickets/1", north, "{}");
    REQUIRE(answer.status == 200);
    CHECK(answer.body.find(north) == std::string::npos);
    CHECK(deployment.Get("plain", "/runs").dump().find(north) ==
          std::string::npos);
    CHECK(deployment.AllLogs().find(north) == std::string::npos);
    CHECK(deployment.Dump("entry-1").dump().find(north) == std::string::npos);
    CHECK(deployment.Dump("desk-1").dump().find(north) == std::string::npos);
    CHECK(deployment.Get("object-api", "/objects/configuration-chunk")
              .dump()
              .find(north) == std::string::npos);
  }

  SUBCASE("a withdrawn key") {
    BackgroundCall running(deployment, "entry-1", "POST", "/tickets/run", north,
                           "{}");
    Await("the call to run",
          [&] { return deployment.Get("plain", "/runs")["runs"].size() == 1; });

    SUBCASE("is refused by both entry processes, and running requests finish") {
      deployment.WithdrawKey("north-1");
      for (const char* entry : {"entry-1", "entry-2"}) {
        Await("the withdrawal to be in force", [&] {
          return deployment.Call(entry, "GET", "/tickets/1", north).status ==
                 401;
        });
      }
      CHECK(running.Wait().status == 200);
      CHECK(deployment.Call("entry-1", "POST", "/tickets/1", south, "{}")
                .status == 200);
    }

    SUBCASE("its queued request is refused and hasn't run") {
      deployment.process("plain").Signal(SIGSTOP);
      BackgroundCall queued(deployment, "entry-1", "POST", "/tickets/queued",
                            north, "{}");
      Await("the request to be queued",
            [&] { return deployment.Dump("desk-1")["queued"] == 1; });
      deployment.WithdrawKey("north-1");
      const auto result = queued.Wait();
      deployment.process("plain").Signal(SIGCONT);
      CHECK(json::parse(result.body)["outcome"] == "not_run");
      CHECK(running.Wait().status == 200);
      const json page = deployment.Get("plain", "/runs");
      for (const json& run : page["runs"]) {
        CHECK(run["path"] != "/tickets/queued");
      }
    }
  }

  SUBCASE("a withdrawal that a peer hasn't applied yet shows in the status") {
    const auto confirmed = [&] {
      const json status = deployment.Get("entry-1-operator", "/status");
      const json& peers = status["peers"];
      REQUIRE(peers.size() == 1);
      CHECK(peers[0]["host"] == "entry-2");
      return peers[0]["confirmed"].get<bool>();
    };
    Await("the current generation to be confirmed", confirmed);
    deployment.process("entry-2").Signal(SIGSTOP);
    deployment.WithdrawKey("north-1");
    Await("the withdrawal to be in force", [&] {
      return deployment.Dump("entry-1")["configuration_generation"] == 4;
    });
    CHECK_FALSE(confirmed());
    deployment.process("entry-2").Signal(SIGCONT);
    Await("the withdrawal to be confirmed", confirmed);
    CHECK(deployment.Call("entry-2", "GET", "/tickets/1", north).status == 401);
  }

  SUBCASE("a process cut off from store and peers accepts no key") {
    deployment.process("entry-2").Kill();
    json declaration = SmallDeclaration();
    declaration["limits"]["staleness_limit_ms"] = 3000;
    deployment.Apply(declaration);
    Await("the limit to be in force", [&] {
      return deployment.Dump("entry-1")["configuration_generation"] == 4;
    });
    deployment.SetFault("object-api", {{"down", true}});
    Await("keys to be refused", [&] {
      return deployment.Call("entry-1", "GET", "/tickets/1", north).status ==
             503;
    });
    CHECK(deployment.Call("entry-1", "GET", "/public/1", "").status == 200);
    deployment.SetFault("object-api", {{"down", false}});
    Await("keys to be accepted again", [&] {
      return deployment.Call("entry-1", "GET", "/tickets/1", north).status ==
             200;
    });
  }
}

TEST_CASE("a key is withdrawn while the relays of its data centre change") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("plain", "plain");
  deployment.Apply(SmallDeclaration());
  const std::string north = deployment.GrantKey("north", "north-1");
  const std::string south = deployment.GrantKey("south", "south-1");
  deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain");
  const std::vector<std::string> entries = {"entry-1", "entry-2", "entry-3",
                                            "entry-4"};
  for (const std::string& entry : entries) {
    deployment.StartEntry(entry);
  }
  for (const std::string& entry : entries) {
    deployment.AwaitReady(entry, 1);
  }
  // The entry processes that copy from a peer, and the peer that the last of
  // them copies from.
  std::vector<std::string> copying_entries;
  std::string relay;
  Await("the configuration sources to settle", [&] {
    copying_entries.clear();
    for (const std::string& entry : entries) {
      const std::string source = deployment.Dump(entry)["configuration_source"];
      if (!source.empty()) {
        copying_entries.push_back(entry);
        relay = source;
      }
    }
    return copying_entries.size() == 2;
  });

  SUBCASE("the relay is killed before the withdrawal") {
    deployment.process(relay).Kill();
    deployment.WithdrawKey("north-1");
  }

  SUBCASE("the relay is killed right after the withdrawal") {
    deployment.WithdrawKey("north-1");
    deployment.process(relay).Kill();
  }

  SUBCASE(
      "the relay is paused during the withdrawal and resumes with stale "
      "state") {
    deployment.process(relay).Signal(SIGSTOP);
    deployment.WithdrawKey("north-1");
    for (const std::string& entry : copying_entries) {
      Await("the withdrawal to be in force at " + entry, [&] {
        return deployment.Call(entry, "GET", "/tickets/1", north).status == 401;
      });
    }
    deployment.process(relay).Signal(SIGCONT);
  }

  const bool relay_killed = !deployment.process(relay).running();
  for (const std::string& entry : entries) {
    if (entry == relay && relay_killed) {
      continue;
    }
    Await("the withdrawal to be in force at " + entry, [&] {
      return deployment.Call(entry, "GET", "/tickets/1", north).status == 401;
    });
    // A resumed process must first receive the state of its backend servers
    // again.
    Await("the other key to work at " + entry, [&] {
      return deployment.Call(entry, "GET", "/tickets/1", south).status == 200;
    });
  }
  if (relay_killed) {
    deployment.StartEntry(relay);
    deployment.AwaitReady(relay, 1);
    CHECK(deployment.Call(relay, "GET", "/tickets/1", north).status == 401);
  }
  for (const std::string& entry : entries) {
    CHECK(deployment.Call(entry, "GET", "/tickets/1", north).status == 401);
  }
}

}  // namespace carawayvalve::tests
