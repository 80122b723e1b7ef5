#include <doctest/doctest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "carawayvalve/base/address.h"
#include "carawayvalve/base/error.h"
#include "deployment.h"
#include "gateway_process.h"

namespace carawayvalve::tests {

namespace {

// A socket that uses a port of the loopback address, as another process would.
class TakenPort {
 public:
  TakenPort(uint16_t port, int type)
      : socket(::socket(AF_INET, type | SOCK_CLOEXEC, 0)) {
    const sockaddr_in address = base::ToSocketAddress({"127.0.0.1", port});
    REQUIRE(bind(this->socket, reinterpret_cast<const sockaddr*>(&address),
                 sizeof(address)) == 0);
    if (type == SOCK_STREAM) {
      REQUIRE(listen(this->socket, 1) == 0);
    }
  }
  ~TakenPort() { close(this->socket); }
  TakenPort(const TakenPort&) = delete;
  TakenPort& operator=(const TakenPort&) = delete;

 private:
  int socket;
};

// An open connection to a port of the loopback address.
class Connection {
 public:
  explicit Connection(uint16_t port)
      : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in address = base::ToSocketAddress({"127.0.0.1", port});
    REQUIRE(connect(this->socket, reinterpret_cast<const sockaddr*>(&address),
                    sizeof(address)) == 0);
  }
  ~Connection() { close(this->socket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

 private:
  int socket;
};

// Returns whether the gateway has logged that it can't listen on this port.
bool HasLoggedTaken(const Process& gateway, const std::string& listener) {
  for (const auto& line : LogLines(gateway.Output(), "listen_failed")) {
    if (line.at("listener") == listener) {
      return true;
    }
  }
  return false;
}

}  // namespace

TEST_CASE("a gateway that starts while one of its ports is taken") {
  GatewayPlatform platform;
  std::optional<TakenPort> taken;

  const auto check_waits = [&](const std::string& listener, int type) {
    taken.emplace(platform.Port(listener), type);
    const auto gateway = platform.Start("gateway");
    Await("the gateway to log the taken port",
          [&] { return HasLoggedTaken(*gateway, listener); });
    CHECK(LogLines(gateway->Output(), "ready").empty());
    if (listener != "readiness") {
      CHECK_FALSE(platform.IsReady());
    }
    taken.reset();
    Await("the gateway to be ready", [&] { return platform.IsReady(); });
    gateway->Signal(SIGTERM);
    CHECK(gateway->WaitForEnd() == 0);
  };

  SUBCASE("waits for the callers' port, and isn't ready meanwhile") {
    check_waits("callers", SOCK_STREAM);
  }
  SUBCASE("waits for the readiness port") {
    check_waits("readiness", SOCK_STREAM);
  }
  SUBCASE("waits for the peers' port, and isn't ready meanwhile") {
    check_waits("peers", SOCK_STREAM);
  }
  SUBCASE("waits for the peers' port for datagrams, and isn't ready") {
    check_waits("peers", SOCK_DGRAM);
  }
  SUBCASE("serves without its metrics until their port is free") {
    taken.emplace(platform.Port("metrics"), SOCK_STREAM);
    const auto gateway = platform.Start("gateway");
    Await("the gateway to be ready", [&] { return platform.IsReady(); });
    CHECK(HasLoggedTaken(*gateway, "metrics"));
    taken.reset();
    Await("metrics",
          [&] { return platform.Get("metrics", "/metrics") == 200; });
  }
  SUBCASE("logs the reason once, not at each try") {
    taken.emplace(platform.Port("metrics"), SOCK_STREAM);
    const auto gateway = platform.Start("gateway");
    Await("the gateway to be ready", [&] { return platform.IsReady(); });
    taken.reset();
    Await("metrics",
          [&] { return platform.Get("metrics", "/metrics") == 200; });
    CHECK(LogLines(gateway->Output(), "listen_failed").size() == 1);
  }
  SUBCASE("stops when it is told to") {
    taken.emplace(platform.Port("callers"), SOCK_STREAM);
    const auto gateway = platform.Start("gateway");
    Await("the gateway to log the taken port",
          [&] { return HasLoggedTaken(*gateway, "callers"); });
    gateway->Signal(SIGTERM);
    CHECK(gateway->WaitForEnd() == 0);
  }
}

TEST_CASE("a second gateway with the settings of one that runs") {
  GatewayPlatform platform;
  const auto first = platform.Start("first");
  Await("the first to be ready", [&] { return platform.IsReady(); });
  const auto second = platform.Start("second");
  Await("the second to wait",
        [&] { return HasLoggedTaken(*second, "callers"); });
  CHECK(platform.IsReady());
  const auto await_second = [&] {
    Await("the second to be ready", [&] {
      return !LogLines(second->Output(), "ready").empty() && platform.IsReady();
    });
  };

  SUBCASE("takes over when the first stops") {
    first->Signal(SIGTERM);
    CHECK(first->WaitForEnd() == 0);
    await_second();
  }
  SUBCASE("takes over when the first is killed") {
    first->Kill();
    await_second();
  }
}

TEST_CASE(
    "a gateway that follows a killed one listens beside its connections") {
  GatewayPlatform platform;
  auto gateway = platform.Start("first");
  Await("the first to be ready", [&] { return platform.IsReady(); });
  const Connection callers(platform.Port("callers"));
  const Connection readiness(platform.Port("readiness"));
  const Connection metrics(platform.Port("metrics"));
  const Connection peers(platform.Port("peers"));
  gateway->Kill();
  gateway = platform.Start("second");
  Await("the second to be ready", [&] { return platform.IsReady(); });
  CHECK(LogLines(gateway->Output(), "listen_failed").empty());
}

TEST_CASE("an entry process that starts while one of its addresses is taken") {
  Deployment deployment;
  StartPlatform(deployment);
  deployment.StartFake("plain", "plain");
  deployment.Apply(SmallDeclaration());
  deployment.StartAgent("desk-1", "ticket-desk", "plain", "plain");
  const auto check_waits = [&](const std::string& suffix, bool stops) {
    const int port = FreePort();
    deployment.SetPort("entry-1" + suffix, port);
    std::optional<TakenPort> taken(std::in_place, static_cast<uint16_t>(port),
                                   SOCK_STREAM);
    deployment.StartEntry("entry-1");
    Process& entry = deployment.process("entry-1");
    Await("the entry process to log the taken address", [&] {
      const std::string output = entry.Output();
      return output.find("listen for") != std::string::npos &&
             output.find(":" + std::to_string(port)) != std::string::npos;
    });
    const bool serves =
        entry.Output().find("is serving callers") != std::string::npos;
    CHECK_FALSE(serves);

    if (stops) {
      entry.Signal(SIGTERM);
      CHECK(entry.WaitForEnd() == 0);
      return;
    }
    taken.reset();
    deployment.AwaitReady("entry-1", 1);
    CHECK(deployment.Call("entry-1", "GET", "/public/hours", "").status == 200);
  };

  SUBCASE("callers: serves once it is free") {
    check_waits("", false);
  }
  SUBCASE("operators: serves once it is free") {
    check_waits("-operator", false);
  }
  SUBCASE("other entry processes: serves once it is free") {
    check_waits("-peer", false);
  }
  SUBCASE("callers: stops when it is told to") {
    check_waits("", true);
  }
  SUBCASE("operators: stops when it is told to") {
    check_waits("-operator", true);
  }
  SUBCASE("other entry processes: stops when it is told to") {
    check_waits("-peer", true);
  }
}

}  // namespace carawayvalve::tests
